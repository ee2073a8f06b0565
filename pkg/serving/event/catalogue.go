package event

import "go.uber.org/zap/zapcore"

const noAction = "None."

// Events of a node's life.
var (
	NodeStarted = Definition{
		Number: 101, Level: zapcore.InfoLevel, Message: "node started",
		Fields:  []string{"node", "failureDomain", "environment", "version"},
		Meaning: "The process has read its settings and is about to listen.",
		Action:  noAction,
	}
	NodeListening = Definition{
		Number: 102, Level: zapcore.InfoLevel, Message: "listening",
		Fields:  []string{"listener", "address", "tls"},
		Meaning: "The node accepts connections on an address.",
		Action:  noAction,
	}
	NodeDraining = Definition{
		Number: 103, Level: zapcore.InfoLevel, Message: "draining",
		Meaning: "The node was told to stop; it is unready and waits for all requests in flight.",
		Action:  "None; a second signal cuts the requests that are left.",
	}
	NodeStopped = Definition{
		Number: 104, Level: zapcore.InfoLevel, Message: "stopped",
		Meaning: "All requests have ended and the process exits.",
		Action:  noAction,
	}
	NodeFailed = Definition{
		Number: 106, Level: zapcore.ErrorLevel, Message: "node failed",
		Fields:  []string{"error"},
		Meaning: "A part of the node ended with an error, and the process exits.",
		Action:  "Read the error; the platform replaces the VM.",
	}
	StepFailed = Definition{
		Number: 107, Level: zapcore.WarnLevel, Message: "step failed",
		Fields:  []string{"error", "failures"},
		Meaning: "A loop of the node could not take its step; it tries again at its next interval. Logged at the first, second, fourth and so on of the failures in a row.",
		Action:  "None, unless it goes on; then read the error.",
	}
)

// Events of certificates.
var (
	CertificateLoaded = Definition{
		Number: 201, Level: zapcore.InfoLevel, Message: "certificate loaded",
		Fields:  []string{"file", "notAfter"},
		Meaning: "New connections use the certificate that the file now holds.",
		Action:  noAction,
	}
	CertificateRefused = Definition{
		Number: 202, Level: zapcore.ErrorLevel, Message: "certificate refused",
		Fields:  []string{"file", "error"},
		Meaning: "The files changed but cannot be used; the node keeps the certificate it has.",
		Action:  "Mend the files; they are read again within seconds.",
	}
)

// Events of the platform.
var (
	PlatformUnreachable = Definition{
		Number: 301, Level: zapcore.WarnLevel, Message: "platform unreachable",
		Fields:  []string{"error"},
		Meaning: "The table service does not answer; nothing is reassigned, and groups go on serving.",
		Action:  "See the page on platform outages in OPERATIONS.md.",
	}
	PlatformReachable = Definition{
		Number: 302, Level: zapcore.InfoLevel, Message: "platform reachable again",
		Meaning: "The table service answers again.",
		Action:  noAction,
	}
)

// Events of configuration.
var (
	RevisionInForce = Definition{
		Number: 401, Level: zapcore.InfoLevel, Message: "revision in force",
		Fields:  []string{"revision", "hash", "origin"},
		Meaning: "The node has moved up to a revision of the document.",
		Action:  noAction,
	}
	RevisionDivergence = Definition{
		Number: 402, Level: zapcore.ErrorLevel, Message: "two documents under one revision",
		Fields:  []string{"error"},
		Meaning: "The platform or a peer shows another document under the revision held; the node keeps its own.",
		Action:  "Apply the wanted document again, which makes a new revision.",
	}
	DocumentUnreadable = Definition{
		Number: 403, Level: zapcore.ErrorLevel, Message: "document unreadable",
		Fields:  []string{"revision", "error"},
		Meaning: "The document of a revision cannot be fetched or decoded; the node keeps the one it has.",
		Action:  "Check the object store, then apply the document again.",
	}
	DocumentAccepted = Definition{
		Number: 404, Level: zapcore.InfoLevel, Message: "document accepted",
		Fields:  []string{"environment", "revision", "kind", "author", "operation"},
		Meaning: "An operator's command became a new revision through this node.",
		Action:  noAction,
	}
	DocumentRefused = Definition{
		Number: 405, Level: zapcore.WarnLevel, Message: "document refused",
		Fields:  []string{"environment", "author", "operation", "error"},
		Meaning: "An operator's command was refused; nothing changed.",
		Action:  noAction,
	}
	DocumentOutcomeUnknown = Definition{
		Number: 406, Level: zapcore.WarnLevel, Message: "outcome of a command not known",
		Fields:  []string{"environment", "author", "operation", "error"},
		Meaning: "The answer of the accepting write was lost and it could not be read back.",
		Action:  "Repeat the command with the same operation, or look at the history.",
	}
)

// Events of leases and replica groups.
var (
	LeaseAcquired = Definition{
		Number: 501, Level: zapcore.InfoLevel, Message: "lease taken",
		Fields:  []string{"fabricDomain", "term"},
		Meaning: "The node controls the fabric domain from now on; term is the fencing number of its orders.",
		Action:  noAction,
	}
	LeaseEnded = Definition{
		Number: 502, Level: zapcore.InfoLevel, Message: "lease ended",
		Fields:  []string{"fabricDomain"},
		Meaning: "The node has handed the lease on, or could not renew it in time; another node takes it.",
		Action:  "None, unless leases end often; then look at the platform.",
	}
	LeasesNotReleased = Definition{
		Number: 503, Level: zapcore.WarnLevel, Message: "leases not handed on",
		Fields:  []string{"error"},
		Meaning: "The node stops without having handed its leases on; other nodes take them once they have lapsed.",
		Action:  noAction,
	}
	GroupChanged = Definition{
		Number: 504, Level: zapcore.InfoLevel, Message: "replica group changed",
		Fields:  []string{"step", "group", "fabricDomain", "epoch", "state", "version", "members", "term"},
		Meaning: "A transaction on the group's row took effect; GROUPS.md lists the steps.",
		Action:  "None, unless step is fail; then check the version's weights and undo the document if they are bad.",
	}
	VMChanged = Definition{
		Number: 505, Level: zapcore.InfoLevel, Message: "VM changed",
		Fields:  []string{"step", "vm", "fabricDomain", "term"},
		Meaning: "A VM was freed by its own answer, or marked as gone or forgotten after the platform's list.",
		Action:  noAction,
	}
	OrderRefused = Definition{
		Number: 506, Level: zapcore.WarnLevel, Message: "order refused",
		Fields:  []string{"vm", "term", "accepted"},
		Meaning: "A member has seen a higher fencing number: another node controls its fabric domain.",
		Action:  noAction,
	}
)

// Events of operators and peers.
var (
	KeyRefused = Definition{
		Number: 701, Level: zapcore.WarnLevel, Message: "request without a valid key",
		Fields:  []string{"listener", "remote", "path"},
		Meaning: "The admin or peer listener refused a request that carried none of its keys.",
		Action:  "Find out who sent it, if it goes on.",
	}
	DrainRequested = Definition{
		Number: 702, Level: zapcore.InfoLevel, Message: "drain requested",
		Fields:  []string{"vm", "author"},
		Meaning: "An operator asked that a VM receive no new work.",
		Action:  noAction,
	}
)

// Events of scheduling.
var (
	OwnerUnreachable = Definition{
		Number: 801, Level: zapcore.WarnLevel, Message: "owner of slots unreachable",
		Fields:  []string{"owner", "error"},
		Meaning: "The node that schedules a model for the failure domain could not be told anything; this node schedules by itself for a few seconds.",
		Action:  "None, unless it goes on; then look at the owner, and at the network between the nodes.",
	}
)

// Events of requests on an entry VM.
var (
	RequestEnded = Definition{
		Number: 901, Level: zapcore.InfoLevel, Message: "request ended",
		Fields:  []string{"request", "route", "service", "model", "version", "outcome", "status", "cause", "tries", "retryAfter", "firstByte", "maxGap", "duration", "events", "registryAge"},
		Meaning: "A caller's request is over. The field tries lists each head that it was offered to, the requests believed to be there, how long it took and why it gave no answer; version is the configuration in force and registryAge the age of what was known of backend servers.",
		Action:  "See OPERATIONS.md, from a request's ID to its cause.",
	}
	RequestsCounted = Definition{
		Number: 902, Level: zapcore.InfoLevel, Message: "requests counted",
		Fields:  []string{"outcome", "count", "dropped"},
		Meaning: "Requests whose own lines were left out to keep the log bounded, and lines lost to a full output.",
		Action:  noAction,
	}
	ConfigurationInForce = Definition{
		Number: 903, Level: zapcore.InfoLevel, Message: "configuration in force",
		Fields:  []string{"version", "previous", "routes", "keys"},
		Meaning: "The node decides by a newer configuration from now on.",
		Action:  noAction,
	}
	ConfigurationUnreadable = Definition{
		Number: 904, Level: zapcore.ErrorLevel, Message: "configuration unreadable",
		Fields:  []string{"error"},
		Meaning: "The newest configuration cannot be decoded; the node keeps the one it has.",
		Action:  "Write the configuration again.",
	}
	SettingsReloaded = Definition{
		Number: 905, Level: zapcore.InfoLevel, Message: "settings reloaded",
		Fields:  []string{"error"},
		Meaning: "The settings file was read again; with an error the node keeps the settings it has.",
		Action:  "With an error, mend the file.",
	}
	ReadinessChanged = Definition{
		Number: 906, Level: zapcore.InfoLevel, Message: "readiness changed",
		Fields:  []string{"ready", "cause"},
		Meaning: "The node tells the balancer that it takes connections, or that it doesn't.",
		Action:  noAction,
	}
	DatagramFailed = Definition{
		Number: 907, Level: zapcore.WarnLevel, Message: "datagram failed",
		Fields:  []string{"error", "failures"},
		Meaning: "A message to or from another node was lost; the next one makes up for it.",
		Action:  noAction,
	}
)

// Events of the backend servers and their groups as an entry VM sees them.
var (
	HeadsChanged = Definition{
		Number: 951, Level: zapcore.InfoLevel, Message: "heads changed",
		Fields:  []string{"service", "model", "heads", "registryVersion", "steady"},
		Meaning: "The backend servers that requests of a service and model can be sent to are others from now on.",
		Action:  "None, unless heads is zero for long; then look at the events of replica groups.",
	}
	GroupPlanned = Definition{
		Number: 952, Level: zapcore.InfoLevel, Message: "replica group planned",
		Fields:  []string{"group", "epoch", "model", "fabricDomain", "members", "term"},
		Meaning: "The plan in the store has a new group; its members are ordered to join it.",
		Action:  noAction,
	}
	GroupReleased = Definition{
		Number: 953, Level: zapcore.InfoLevel, Message: "replica group released",
		Fields:  []string{"group", "epoch", "model", "reason", "term"},
		Meaning: "The plan in the store has lost a group; its members are free.",
		Action:  noAction,
	}
	OrderSent = Definition{
		Number: 954, Level: zapcore.InfoLevel, Message: "order given",
		Fields:  []string{"server", "operation", "group", "epoch", "model", "loads", "accepted", "reason", "status", "error"},
		Meaning: "A backend server was given an order and answered with the status, or not at all.",
		Action:  noAction,
	}
	HeadProbed = Definition{
		Number: 955, Level: zapcore.InfoLevel, Message: "head without a registration asked",
		Fields:  []string{"server", "asked", "near", "reached", "left", "missingFor"},
		Meaning: "A head that is no longer registered was asked by several nodes whether it still serves, before its members may join another group.",
		Action:  noAction,
	}
)

// FleetCounted is logged by the node that controls a failure domain.
var FleetCounted = Definition{
	Number: 956, Level: zapcore.InfoLevel, Message: "fleet counted",
	Fields:  []string{"fabricDomain", "service", "servers", "leaving", "groups", "idle", "loading", "term"},
	Meaning: "What the backend servers of a failure domain do: groups lists each model's groups that are whole and that are not, idle each model's servers that need no load to join and those that do.",
	Action:  "None, unless servers stay idle while groups lack members; then look at the orders given.",
}

var areas = []area{
	{"Node", []Definition{NodeStarted, NodeListening, NodeDraining, NodeStopped, NodeFailed, StepFailed}},
	{"Certificates", []Definition{CertificateLoaded, CertificateRefused}},
	{"Platform", []Definition{PlatformUnreachable, PlatformReachable}},
	{"Configuration", []Definition{
		RevisionInForce, RevisionDivergence, DocumentUnreadable, DocumentAccepted, DocumentRefused, DocumentOutcomeUnknown,
	}},
	{"Leases and replica groups", []Definition{LeaseAcquired, LeaseEnded, LeasesNotReleased, GroupChanged, VMChanged, OrderRefused}},
	{"Operators and peers", []Definition{KeyRefused, DrainRequested}},
	{"Scheduling", []Definition{OwnerUnreachable}},
	{"Entry VMs", []Definition{
		RequestEnded, RequestsCounted, ConfigurationInForce, ConfigurationUnreadable, SettingsReloaded, ReadinessChanged, DatagramFailed,
	}},
	{"Backend servers", []Definition{HeadsChanged, GroupPlanned, GroupReleased, OrderSent, HeadProbed, FleetCounted}},
}

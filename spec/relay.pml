/*
 * A row that one node reads at the store and passes on to another, over returns of the
 * store from an older copy and writes that it performs late.
 *
 * The row has values 1 to TOP, in the order of their content. The store counts versions; an
 * era is part of a version, so that the version grows with a return, too. A node ignores a
 * value that isn't newer by its content than the one that it has. The source passes on only
 * values that differ from the one before: 1 and 3 don't. The follower reads the source and
 * the store in any order, and either node may start again.
 *
 * Checked: after a read at its source a follower has no older value than the source, unless
 * the two don't differ.
 *
 * mutant: -DBY_VERSION
 * mutant: -DPOSITION_KEPT
 * mutant: -DVERSION_DECIDES
 * mutant: -DBEHIND_SOURCE_CONTINUED
 */

#define TOP 3
#define MAX_VERSION 6
#define MAX_STARTS 2

#define DIFFER(a, b) ((a) != (b) && (a) + (b) != 4)

byte value = 1;    /* in the store */
byte version = 1;
byte written = 1;  /* the newest value that was written */
byte late;         /* a value that the store has yet to perform; 0 for none */
byte copied;       /* the value in the copy; 0 for none */

/* The source. */
byte sourceValue;
byte sourceVersion;
byte sourceLog;      /* ID of its log */
byte sourceIndex;    /* of the last change that it passes on */
byte sourceNotified; /* version of that change */

/* The follower. */
byte followerValue;
byte followerVersion;
byte followerLog = 255;
byte followerIndex;

active proctype Store() {
end:	do
	:: atomic { written < TOP && version < MAX_VERSION ->
		written++; value = written; version++ }
	:: atomic { written < TOP && late == 0 ->
		written++; late = written }
	:: atomic { late > 0 && version < MAX_VERSION ->
		value = late; late = 0; version++ }
	:: atomic { copied == 0 -> copied = value }
	:: atomic { copied > 0 && version < MAX_VERSION ->
		value = copied; copied = 0; version++ }
	/* The writer writes again what was lost. */
	:: atomic { value < written && late != written && version < MAX_VERSION ->
		value = written; version++ }
	od
}

active proctype Source() {
	byte starts;
end:	do
	:: atomic { sourceVersion < version ->
		if
		:: value > sourceValue ->
			if
			:: sourceValue == 0 || DIFFER(value, sourceValue) ->
				sourceIndex++;
				sourceNotified = version
			:: else
			fi;
			sourceValue = value
		:: else
		fi;
		sourceVersion = version }
	:: atomic { starts < MAX_STARTS && sourceVersion > 0 ->
		starts++; sourceLog++;
		sourceValue = 0; sourceVersion = 0; sourceIndex = 0; sourceNotified = 0 }
	od
}

inline receive() {
	if
#ifdef VERSION_DECIDES
	:: sourceVersion > followerVersion && sourceValue > followerValue -> followerValue = sourceValue
#else
	:: sourceValue > followerValue -> followerValue = sourceValue
#endif
	:: else
	fi
}

active proctype Follower() {
	byte starts;
end:	do
	:: atomic { followerVersion < version ->
		if
		:: value > followerValue -> followerValue = value
		:: else
		fi;
		followerVersion = version;
#ifndef POSITION_KEPT
		followerLog = 255
#endif
		}
	:: atomic { sourceVersion > 0 ->
		if
#ifdef BY_VERSION
		:: sourceNotified > followerVersion -> receive()
#else
		:: followerLog != sourceLog || sourceIndex > followerIndex -> receive()
#endif
		:: else
		fi;
		if
#ifdef BEHIND_SOURCE_CONTINUED
		:: followerVersion >= 0 ->
#else
		:: followerValue <= sourceValue || !DIFFER(followerValue, sourceValue) ->
#endif
			followerLog = sourceLog;
			followerIndex = sourceIndex
		:: else ->
			followerLog = 255
		fi;
		if
		:: sourceVersion > followerVersion -> followerVersion = sourceVersion
		:: else
		fi;
		assert(followerValue >= sourceValue || !DIFFER(followerValue, sourceValue)) }
	:: atomic { starts < MAX_STARTS && followerVersion > 0 ->
		starts++;
		followerValue = 0; followerVersion = 0; followerLog = 255; followerIndex = 0 }
	od
}

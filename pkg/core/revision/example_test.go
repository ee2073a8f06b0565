package revision_test

import (
	"fmt"
	"time"

	"almondbay.example/core/revision"
)

// Two operators propose on the same revision; the first proposal is accepted
// and the second is rejected.
func ExampleAccept() {
	at := time.Unix(1_700_000_000, 0)
	row, err := revision.Accept(revision.Row{Environment: "trial"},
		revision.Proposal{Operation: "a", Parent: 0, Hash: "ab", Author: "ana"}, at)
	fmt.Println(row.Revision, row.Author, err)
	_, err = revision.Accept(row,
		revision.Proposal{Operation: "b", Parent: 0, Hash: "cd", Author: "rui"}, at)
	fmt.Println(err)
	// Output:
	// 1 ana <nil>
	// revision: environment "trial" is at revision 1 by ana, not at 0
}

// A follower never adopts a lower revision.
func ExampleFollower() {
	follower := revision.NewFollower("trial")
	for _, number := range []uint64{2, 1, 3} {
		adopted, _ := follower.Offer(revision.Entry{Revision: number, Hash: fmt.Sprint(number)}, revision.OriginPeer)
		fmt.Println(number, adopted, follower.State().Revision)
	}
	// Output:
	// 2 true 2
	// 1 false 2
	// 3 true 3
}

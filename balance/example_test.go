package balance_test

import (
	"fmt"

	"lapislever/balance"
)

// A host creates an instance, passes it a list and a query, reports the outcome of each attempt and carries
// out the actions that Step returns. Times come from the host's clock, in microseconds.
func Example() {
	b, err := balance.New(balance.Settings{
		Classes: []balance.Class{{Aim: 1_000_000, Deadline: 3_000_000, Worth: 1, Need: 1, Floor: 1}},
		Tick:    5_000, Cells: 1, Reach: 1, BatchMax: 1, MaxAttempts: 3, CanCancel: true, CanCopy: true,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := balance.Micros(10_000_000)
	show := func(actions []balance.Action) {
		for _, a := range actions {
			switch a.Kind {
			case balance.Send:
				fmt.Println("send part", a.ID, "to replica", a.Replica)
			case balance.Answer:
				fmt.Println("answer query", a.ID, "complete:", a.Complete)
			case balance.Wake:
				fmt.Println("wake me in", a.After, "us")
			}
		}
	}
	show(b.Step(now, []balance.Event{
		{Kind: balance.List, Mode: balance.Full, Replicas: []balance.Replica{
			{ID: 7, State: balance.Ready, Size: 2},
		}},
		{Kind: balance.Query, ID: 1, Number: 1, Weight: 1, Deadline: now + 3_000_000},
		{Kind: balance.Part, ID: 2, Number: 1, Shard: 0, Weight: 1, Deadline: now + 3_000_000},
	}, nil))
	now += 80_000
	show(b.Step(now, []balance.Event{
		{Kind: balance.Result, ID: 2, Attempt: 0, Replica: 7, Outcome: balance.OK, Closed: true, Elapsed: 80_000},
	}, nil))
	// Output:
	// send part 2 to replica 7
	// wake me in 10000 us
	// answer query 1 complete: true
}

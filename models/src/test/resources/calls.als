// One call that may run at most once, under one idempotency key.
//
// An attempt claims the row before it sends. Writes of claims travel: they may land late, land
// after their attempt gave up, or never land, and an attempt learns that it owns the row only by
// an answer or by reading back. Routers crash at any point. Time plays no part: nothing expires.
module calls

open util/ordering[Version]

sig Version {}

enum Phase { Claiming, Owning, Sent, Refused, Crashed }

enum RowState { Free, Claimed, Done }

sig Attempt {
  var phase: one Phase,
  var inFlight: set Version   // claims under way, each with the version that it expects
}

one sig Row {
  var version: one Version,
  var state: one RowState,
  var owner: lone Attempt     // who claimed or released last
}

// The protocol is sound if it has none of these.
abstract sig Flaw {}
lone sig ClaimsExpire extends Flaw {}    // a claim is overtaken after a while
lone sig SendsUnsettled extends Flaw {}  // an attempt sends before it knows that it owns the row
lone sig NoneIsNever extends Flaw {}     // "not run up to now" is taken to mean "will not run"
lone sig ReceiptEarly extends Flaw {}    // a receipt is given while the attempt may still send

pred unchangedRow { version' = version and state' = state and owner' = owner }

pred onlyPhase [a: Attempt, p: Phase] {
  phase' = phase ++ a -> p
}

pred stutter { unchangedRow and phase' = phase and inFlight' = inFlight }

// What the attempt read when it decided to claim: a free row, or one whose attempt gave a receipt.
pred mayClaim [a: Attempt] {
  Row.state = Free
    or (Row.state = Claimed and Row.owner != a and Row.owner.phase = Refused)
    or (some ClaimsExpire and Row.state = Claimed)
    or (some ReceiptEarly and Row.state = Claimed and Row.owner.phase = Owning)
}

pred writeClaim [a: Attempt] {
  a.phase = Claiming and mayClaim[a]
  inFlight' = inFlight + a -> Row.version
  unchangedRow and phase' = phase
}

// A claim arrives; it takes effect only if the row is still at the version it expects.
pred land [a: Attempt, v: Version] {
  v in a.inFlight
  inFlight' = inFlight - a -> v
  phase' = phase
  (v = Row.version and some v.next)
    implies (Row.version' = v.next and Row.state' = Claimed and Row.owner' = a)
    else unchangedRow
}

// The answer came, or the attempt read the row back.
pred learn [a: Attempt] {
  a.phase = Claiming
  (Row.state = Claimed and Row.owner = a) or (some SendsUnsettled and some a.inFlight)
  onlyPhase[a, Owning] and unchangedRow and inFlight' = inFlight
}

pred send [a: Attempt] {
  a.phase = Owning
  onlyPhase[a, Sent] and unchangedRow and inFlight' = inFlight
}

// The caller is told not_run and gets a receipt: at the deadline, or with no connection made.
pred refuse [a: Attempt] {
  a.phase in Claiming + Owning or (some NoneIsNever and a.phase = Sent)
  onlyPhase[a, Refused] and unchangedRow and inFlight' = inFlight
}

// Compare-and-set on the own claim, or on the version at which the own claim may still land.
pred release [a: Attempt] {
  a.phase = Refused and some Row.version.next
  (Row.state = Claimed and Row.owner = a) or Row.version in a.inFlight
  Row.version' = Row.version.next and Row.state' = Free and Row.owner' = a
  phase' = phase and inFlight' = inFlight
}

// The answer, or the service's own account, is recorded.
pred record [a: Attempt] {
  Row.state = Claimed and Row.owner = a and a in everSent and some Row.version.next
  Row.version' = Row.version.next and Row.state' = Done and owner' = owner
  phase' = phase and inFlight' = inFlight
}

pred crash [a: Attempt] {
  a.phase in Claiming + Owning + Sent
  onlyPhase[a, Crashed] and unchangedRow and inFlight' = inFlight
}

// Attempts whose request reached the network, whatever became of the router since.
fun everSent: set Attempt { { a: Attempt | once a.phase = Sent } }

fact trace {
  Attempt.phase = Claiming and no inFlight
  Row.version = first and Row.state = Free and no Row.owner
  always {
    stutter
      or some a: Attempt {
        writeClaim[a] or learn[a] or send[a] or refuse[a] or release[a] or record[a]
          or crash[a] or some v: Version | land[a, v]
      }
  }
}

pred runsAtMostOnce { always lone everSent }

pred notRunIsTrue { always all a: Attempt | a.phase = Refused implies always a not in everSent }

assert sound { no Flaw implies (runsAtMostOnce and notRunIsTrue) }

check sound for 2 but 4 Version, 1..10 steps expect 0
check sound for 3 but 4 Version, 1..7 steps expect 0

// Not vacuous: a refused attempt's late claim is taken over with its receipt, and the call runs.
run takenOver {
  no Flaw
  eventually (some disj a, b: Attempt | a.phase = Refused and Row.state = Done and Row.owner = b)
} for 2 but 4 Version, 1..10 steps expect 1

run crashedAfterSending {
  no Flaw
  eventually (some a: Attempt | a.phase = Crashed and Row.state = Done and Row.owner = a)
} for 2 but 4 Version, 1..10 steps expect 1

// Each flaw is found.
check expiry { Flaw = ClaimsExpire implies runsAtMostOnce }
  for 2 but 4 Version, 1..10 steps expect 1
check unsettled { Flaw = SendsUnsettled implies runsAtMostOnce }
  for 2 but 4 Version, 1..10 steps expect 1
check noneIsNever { Flaw = NoneIsNever implies notRunIsTrue }
  for 2 but 4 Version, 1..10 steps expect 1
check noneIsNeverTwice { Flaw = NoneIsNever implies runsAtMostOnce }
  for 2 but 4 Version, 1..10 steps expect 1
check receiptEarly { Flaw = ReceiptEarly implies runsAtMostOnce }
  for 2 but 4 Version, 1..10 steps expect 1

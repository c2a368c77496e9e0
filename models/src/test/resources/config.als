// Accepted configurations: a race of operators, lost answers, restarts, gossip, a store that fails.
//
// The head row holds the revision in force and the change that made it. Operators' changes are
// compare-and-set on the head, travel, and may land late; a lost answer is settled by reading back
// for the own change. Processes learn revisions from the head and from each other.
module config

open util/ordering[Revision]

sig Revision {}

sig Change {
  var expects: lone Revision,  // the head that the change was made against, once it was sent
  var told: lone Told          // what the operator was told
}

enum Told { Accepted, Beaten }

one sig Head {
  var revision: one Revision,
  var history: Revision -> lone Change  // immutable objects: which change made a revision
}

sig Process {
  var inForce: lone Revision   // none after a restart, until the head or a peer is heard
}

var sig Travelling in Change {}

lone sig GossipOverwrites {}   // flaw: a process takes whatever a peer says
lone sig LostIsRefused {}      // flaw: a lost answer is taken as a refusal

pred unchangedHead { revision' = revision and history' = history }

pred unchangedChanges { expects' = expects and told' = told and Travelling' = Travelling }

pred stutter { unchangedHead and unchangedChanges and inForce' = inForce }

pred submit [c: Change] {
  no c.expects
  expects' = expects + c -> Head.revision
  Travelling' = Travelling + c and told' = told and unchangedHead and inForce' = inForce
}

pred land [c: Change] {
  c in Travelling
  Travelling' = Travelling - c and expects' = expects and told' = told and inForce' = inForce
  (c.expects = Head.revision and some Head.revision.next)
    implies {
      Head.revision' = Head.revision.next
      Head.history' = Head.history + Head.revision.next -> c
    }
    else unchangedHead
}

pred loseRequest [c: Change] {
  c in Travelling
  Travelling' = Travelling - c
  expects' = expects and told' = told and unchangedHead and inForce' = inForce
}

// The operator is told once it is settled: the own change is in the history, or another one is
// where it would have been, so that it can not land any more.
pred tell [c: Change] {
  some c.expects and no c.told
  (c in Revision.(Head.history))
    implies told' = told + c -> Accepted
    else {
      gt[Head.revision, c.expects] or some LostIsRefused
      told' = told + c -> Beaten
    }
  expects' = expects and Travelling' = Travelling and unchangedHead and inForce' = inForce
}

pred readHead [p: Process] {
  no p.inForce or gt[Head.revision, p.inForce]
  inForce' = inForce ++ p -> Head.revision
  unchangedHead and unchangedChanges
}

pred gossip [from, to: Process] {
  some from.inForce
  no to.inForce or gt[from.inForce, to.inForce] or some GossipOverwrites
  inForce' = inForce ++ to -> from.inForce
  unchangedHead and unchangedChanges
}

pred restart [p: Process] {
  inForce' = inForce - p -> Revision
  unchangedHead and unchangedChanges
}

fact trace {
  Head.revision = first and no Head.history and no inForce
  no expects and no told and no Travelling
  always {
    stutter
      or (some c: Change | submit[c] or land[c] or loseRequest[c] or tell[c])
      or (some p: Process | readHead[p] or restart[p])
      or (some disj p, q: Process | gossip[p, q])
  }
}

// As long as a process lives, what is in force there only goes up.
pred neverReverts {
  always all p: Process |
    (some p.inForce and some p.inForce') implies gte[p.inForce', p.inForce]
}

// Only accepted revisions are ever in force anywhere, and what was accepted stays as it was.
pred onlyAccepted { always all p: Process | p.inForce in first + Head.history.Change }

pred oneWinner {
  always (gte[Head.revision', Head.revision] and Head.history in Head.history')
  always all c: Change | lone Head.history.c
}

pred toldTheTruth {
  always all c: Change {
    c.told = Accepted implies c in Revision.(Head.history)
    c.told = Beaten implies always c not in Revision.(Head.history)
  }
}

assert sound {
  (no GossipOverwrites and no LostIsRefused)
    implies (neverReverts and onlyAccepted and oneWinner and toldTheTruth)
}

check sound for 3 but 4 Revision, 1..8 steps expect 0

// Not vacuous: two operators race, one is beaten, and a restarted process hears it from a peer.
run race {
  no GossipOverwrites and no LostIsRefused
  eventually {
    some c: Change | c.told = Accepted
    some c: Change | c.told = Beaten
    some disj p, q: Process | gossip[p, q] and once restart[q]
  }
} for 3 but 4 Revision, 1..8 steps expect 1

// Each flaw is found.
check overwritten { some GossipOverwrites implies neverReverts }
  for 3 but 4 Revision, 1..8 steps expect 1
check lostIsRefused { some LostIsRefused implies toldTheTruth }
  for 3 but 4 Revision, 1..8 steps expect 1

// Orders to one engine, from the holder of a lease that may lapse at any time.
//
// A lapse needs no cause here: any router may take the lease at any moment, so a holder that was
// paused, or cut off, goes on believing in its old number and sends orders late. What the
// configuration wants changes; an order carries what its sender wanted.
module orders

open util/ordering[Number]

sig Number {}

sig Weights {}

sig Router {
  var believes: lone Number  // the fencing number under which it thinks it holds the lease
}

one sig Lease {
  var number: one Number,
  var holder: lone Router
}

sig Order {
  fencing: one Number,
  weights: one Weights
}

one sig Engine {
  var loaded: one Weights,
  var fencing: one Number    // of the order that was obeyed last
}

one sig Wanted { var weights: one Weights }

var sig Travelling in Order {}  // sent and not yet arrived
var sig Past in Order {}        // arrived or lost; no order is sent twice

sig Request {
  wants: one Weights,
  var accepted: lone Weights   // the weights that the accepted answer was made with
}

lone sig IgnoresFencing {}       // the engine obeys old orders too
lone sig TrustsAnswers {}        // flaw: the router does not compare an answer's weights
lone sig NeverReadsBack {}       // flaw: the holder orders once and does not look again

pred unchangedLease { number' = number and holder' = holder and believes' = believes }

pred unchangedEngine { loaded' = loaded and Engine.fencing' = Engine.fencing }

pred unchangedOrders { Travelling' = Travelling and Past' = Past }

pred unchangedRest { Wanted.weights' = Wanted.weights and accepted' = accepted }

pred stutter { unchangedLease and unchangedEngine and unchangedOrders and unchangedRest }

pred acquire [r: Router] {
  some Lease.number.next
  Lease.number' = Lease.number.next and Lease.holder' = r
  believes' = believes ++ r -> Lease.number'
  unchangedEngine and unchangedOrders and unchangedRest
}

pred change [w: Weights] {
  Wanted.weights' = w
  accepted' = accepted and unchangedLease and unchangedEngine and unchangedOrders
}

pred order [r: Router, o: Order] {
  o not in Travelling + Past
  o.fencing = r.believes and o.weights = Wanted.weights
  Engine.loaded != o.weights
  some NeverReadsBack implies no x: Travelling + Past | x.fencing = o.fencing
  Travelling' = Travelling + o and Past' = Past
  unchangedLease and unchangedEngine and unchangedRest
}

pred arrive [o: Order] {
  o in Travelling
  Travelling' = Travelling - o and Past' = Past + o
  (some IgnoresFencing or gte[o.fencing, Engine.fencing])
    implies (Engine.loaded' = o.weights and Engine.fencing' = o.fencing)
    else unchangedEngine
  unchangedLease and unchangedRest
}

pred lose [o: Order] {
  o in Travelling
  Travelling' = Travelling - o and Past' = Past + o
  unchangedLease and unchangedEngine and unchangedRest
}

// The engine answers a request with what it has loaded, and says so.
pred answer [q: Request] {
  no q.accepted
  (some TrustsAnswers or Engine.loaded = q.wants)
    implies accepted' = accepted + q -> Engine.loaded
    else accepted' = accepted
  Wanted.weights' = Wanted.weights and unchangedLease and unchangedEngine and unchangedOrders
}

fact trace {
  Lease.number = first and no Lease.holder and no believes
  Engine.fencing = first and no Travelling and no Past and no accepted
  always {
    stutter
      or (some r: Router | acquire[r])
      or (some r: Router, o: Order | order[r, o])
      or (some w: Weights | change[w])
      or (some o: Order | arrive[o] or lose[o])
      or (some q: Request | answer[q])
  }
}

pred noWrongAnswer { always all q: Request | q.accepted in q.wants }

// Once a newer holder's order was obeyed, no older one is.
pred neverStepsBack { always gte[Engine.fencing', Engine.fencing] }

// Nothing more lapses or changes, no order travels, and the engine still has what nobody wants,
// though the holder has an order left to send and does not want to: stuck for good.
pred stuckWrong {
  eventually {
    some Lease.holder and no Travelling
    Engine.loaded != Wanted.weights
    no o: Order - Past | some r: Router | r = Lease.holder and canOrder[r, o]
    some o: Order - Past | o.fencing = Lease.number and o.weights = Wanted.weights
  }
}

pred canOrder [r: Router, o: Order] {
  o not in Travelling + Past
  o.fencing = r.believes and o.weights = Wanted.weights
  Engine.loaded != o.weights
  some NeverReadsBack implies no x: Travelling + Past | x.fencing = o.fencing
}

// An answer made with other weights is never accepted.
assert soundAnswers { no TrustsAnswers implies noWrongAnswer }

check soundAnswers for 3 but 4 Order, 2 Weights, 1..10 steps expect 0

// An engine that checks fencing obeys no order older than the one it obeyed last.
assert fenced { no IgnoresFencing implies neverStepsBack }

check fenced for 3 but 4 Order, 2 Weights, 1..10 steps expect 0

// With or without fencing, a holder that reads back can always put the engine right.
assert repaired { no NeverReadsBack implies not stuckWrong }

check repaired for 3 but 4 Order, 2 Weights, 1..10 steps expect 0

// Not vacuous: a stale order is obeyed by an engine that ignores fencing, and then repaired.
run staleThenRepaired {
  some IgnoresFencing and no NeverReadsBack
  eventually {
    lt[Engine.fencing, Lease.number] and Engine.loaded != Wanted.weights
    some Past and no Travelling
    eventually (Engine.fencing = Lease.number and Engine.loaded = Wanted.weights)
  }
} for 3 but 4 Order, 2 Weights, 1..10 steps expect 1

// Each flaw is found.
check trusting { some TrustsAnswers implies noWrongAnswer }
  for 3 but 4 Order, 2 Weights, 1..10 steps expect 1
check unfenced { some IgnoresFencing implies neverStepsBack }
  for 3 but 4 Order, 2 Weights, 1..10 steps expect 1
check blind { some NeverReadsBack implies not stuckWrong }
  for 3 but 4 Order, 2 Weights, 1..10 steps expect 1

Feature: Models of the stand-in back ends, callers and fabric

  Scenario: A back end runs no more requests at once than it has slots
    Then standins back end property: running requests stay within the slots and waiting ones within the queue

  Scenario: A back end says "not run" only of packets it has not run
    Then standins back end property: every request packet is either run and answered whole or refused

  Scenario: A draining back end takes no new flow and serves the ones it holds
    Given a standins back end that holds a flow
    When the standins back end is drained
    Then the standins back end refuses a new flow and answers the one it holds

  Scenario: A feed goes to the address the flow was last heard from
    Given a standins back end that holds a flow
    When the standins flow subscribes to a feed and then moves to another address
    Then the standins feed goes on at the new address without a gap

  Scenario: A caller accepts only whole answers to its own requests
    Then standins caller property: over a network with loss, copies and disorder it takes no foreign answer
    And standins caller property: an answer mixed from two executions or cut is never taken

  Scenario: A caller recognises broken flows
    Then a standins caller counts a lost flow as broken
    And a standins caller counts a change of back end as broken
    And a standins caller counts silence as broken
    And a standins caller counts a reply of another service as misrouted
    And a standins caller records a refusal that comes after the answer

  Scenario: The fabric sprays over all balancers and nowhere else
    Then standins fabric property: each datagram is delivered, lost or copied as counted, to listed balancers

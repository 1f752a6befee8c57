Feature: Flows of an unreachable back end are reset at once, and no flow of a reachable one

  Scenario: A retransmitted request makes a balancer check its back end
    Given a forwarding node with routes and back ends
    When forwarding forwards a request and its retransmission
    Then forwarding checks that back end, and only that one

  Scenario: Requests without retransmissions start no check
    Given a forwarding node with routes and back ends
    When forwarding forwards many requests and observes their answers
    Then forwarding checks no back end

  Scenario: A retransmitted opening packet makes a balancer check the first choice
    Given a forwarding node with routes and back ends
    When forwarding forwards an opening packet and its retransmission
    Then forwarding checks that back end, and only that one

  Scenario: Flows of an unreachable back end are reset, and it gets no new ones
    Given a forwarding node with routes and back ends
    When forwarding forwards a request and its retransmission
    And the check of the back end returns unreachable
    Then forwarding resets flows to it and forwards the packets of all others
    And forwarding places 40 new flows on other back ends
    And forwarding notifies peers of it

  Scenario: Flows of a reachable back end stay, whatever is retransmitted
    Given a forwarding node with routes and back ends
    When forwarding forwards a request and its retransmission
    And the check of the back end returns reachable
    Then forwarding forwards all packets

  Scenario: A check whose control is unreachable too resets no flow
    Given a forwarding node with routes and back ends
    When forwarding forwards a request and its retransmission
    And the check of the back end returns unknown
    Then forwarding forwards all packets

  Scenario: A peer's notification resets no flow, but makes the balancer check for itself
    Given a forwarding node with routes and back ends
    When a peer reports to forwarding that back end 1 is unreachable
    Then forwarding forwards all packets
    And forwarding checks that back end, and only that one
    And forwarding places 40 new flows on other back ends

  Scenario: A newer entry in the store makes a back end reachable again
    Given a forwarding node with routes and back ends
    When forwarding forwards a request and its retransmission
    And the check of the back end returns unreachable
    And the store sends a newer entry of the checked back end
    Then forwarding forwards all packets

  Scenario: A listed back end counts as unreachable for a limited time
    Given a forwarding node with routes and back ends
    When forwarding forwards a request and its retransmission
    And the check of the back end returns unreachable
    And five seconds pass in forwarding
    Then forwarding forwards all packets

  Scenario: An unreachable back end that then departs stays unreachable
    Given a forwarding node with routes and back ends
    When forwarding forwards a request and its retransmission
    And the check of the back end returns unreachable
    And the checked back end departs unannounced
    And five seconds pass in forwarding
    Then forwarding resets flows to it and forwards the packets of all others

  Scenario: Flows of a back end whose address is reused by another are reset
    Given a forwarding node with routes and back ends
    When the address of back end 1 is reused by a back end of another service
    Then forwarding resets flows to it and forwards the packets of all others

  Scenario: A late entry does not take the address from the back end that uses it now
    Then forwarding property: of two back ends with one address the listed one keeps its flows, in any order

  Scenario: A service without reachable back ends still gets new flows
    Given a forwarding node with routes and back ends
    When no back end of the service is reachable
    Then forwarding still places a new flow

  Scenario: The rate of checks is limited, whatever callers retransmit
    Then forwarding property: a back end is checked at most once per second, all together 40 times per second

  Scenario: A check distinguishes addresses that listen, refuse connections and do not respond
    Then a check distinguishes them, and its result is unknown if the control accepts no connection either

  Scenario: An opening packet that no packet follows makes a balancer check its back end at once
    Given a forwarding node with routes and back ends
    When forwarding forwards an opening packet that no other packet follows for 0.1 seconds
    Then forwarding checks that back end, and only that one

  Scenario: An opening packet that is followed by another packet starts no check
    Given a forwarding node with routes and back ends
    When forwarding forwards an opening packet and the next packet of its flow
    Then forwarding checks no back end

  Scenario: After a peer's notification a balancer checks back ends with flows at once, others with their next packet
    Given a forwarding node with routes and back ends
    When forwarding has observed flows of back end 1 and a peer reports back ends 1 and 2 as unreachable
    Then forwarding checks back end 1 at once, and no other

  Scenario: Idle flows of an unreachable back end are reset in batches, so that no packets are delayed
    Given a forwarding node with routes and back ends
    When forwarding has observed 250 flows of back end 1 and some of others, and finds 1 unreachable
    Then forwarding resets those 250 flows in three batches, with their callers' last acknowledgements, and no other

  Scenario: Flows of a back end that may be running are not reset
    Then forwarding property: flows are reset only if this balancer's own check found their back end unreachable

  Scenario: A check whose control does not respond either is repeated at once with other controls, a few times
    Given a forwarding node with routes and back ends
    When forwarding forwards a request and its retransmission
    Then forwarding checks it three times, each with another control, while the results are unknown
    And forwarding checks no back end

  Scenario: The rules for packets of an open flow apply in their order
    Then forwarding property: the rules for an open flow apply in their order in every situation

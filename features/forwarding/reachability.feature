Feature: Flows of a back end that is gone are told so at once, and no flow of one that lives

  Scenario: A repeated request makes a balancer see whether its back end can be reached
    Given a forwarding node with routes and back ends
    When forwarding passes on a request and its repetition
    Then forwarding checks that back end, and only that one

  Scenario: A request that is not repeated checks nothing
    Given a forwarding node with routes and back ends
    When forwarding passes on many requests with their answers
    Then forwarding checks no back end

  Scenario: A copy of an opening packet checks the first choice
    Given a forwarding node with routes and back ends
    When forwarding passes on an opening packet and its copy
    Then forwarding checks that back end, and only that one

  Scenario: Flows of a back end that cannot be reached are reset, and it is given no new ones
    Given a forwarding node with routes and back ends
    When forwarding passes on a request and its repetition
    And the check of the back end says unreachable
    Then forwarding resets packets of flows to it and forwards all others
    And forwarding places 40 new flows elsewhere
    And forwarding tells peers of it

  Scenario: Flows of a back end that can be reached stay, whatever is repeated
    Given a forwarding node with routes and back ends
    When forwarding passes on a request and its repetition
    And the check of the back end says reachable
    Then forwarding forwards all packets

  Scenario: A check that reached nothing else either resets no flow
    Given a forwarding node with routes and back ends
    When forwarding passes on a request and its repetition
    And the check of the back end says unknown
    Then forwarding forwards all packets

  Scenario: A peer's word resets nothing, but makes the balancer see for itself
    Given a forwarding node with routes and back ends
    When a peer tells forwarding that back end 1 cannot be reached
    Then forwarding forwards all packets
    And forwarding checks that back end, and only that one
    And forwarding places 40 new flows elsewhere

  Scenario: News of a back end in the store ends the verdict
    Given a forwarding node with routes and back ends
    When forwarding passes on a request and its repetition
    And the check of the back end says unreachable
    And the store brings news of the checked back end
    Then forwarding forwards all packets

  Scenario: The verdict on a back end that is still listed ends by itself
    Given a forwarding node with routes and back ends
    When forwarding passes on a request and its repetition
    And the check of the back end says unreachable
    And five seconds pass in forwarding
    Then forwarding forwards all packets

  Scenario: The verdict on a back end that then leaves the list stands
    Given a forwarding node with routes and back ends
    When forwarding passes on a request and its repetition
    And the check of the back end says unreachable
    And the checked back end leaves the list without a word
    And five seconds pass in forwarding
    Then forwarding resets packets of flows to it and forwards all others

  Scenario: Flows of a back end whose address has gone to another are reset
    Given a forwarding node with routes and back ends
    When the address of back end 1 goes to a back end of another service
    Then forwarding resets packets of flows to it and forwards all others

  Scenario: An entry learned late takes no address from the back end that has it now
    Then forwarding property: of two with one address the one that lives keeps its flows, in any order

  Scenario: A service none of whose back ends can be reached is still tried
    Given a forwarding node with routes and back ends
    When no back end of the service can be reached
    Then forwarding places a new flow all the same

  Scenario: Whatever callers repeat, checks are few
    Then forwarding property: a back end is checked once a second, all together 40 times a second at most

  Scenario: A check tells addresses that listen, refuse and are silent apart
    Then a check tells them apart, and is in doubt where another address is silent too

  Scenario: An opening packet that nothing follows makes a balancer check its back end at once
    Given a forwarding node with routes and back ends
    When forwarding passes on an opening packet that nothing follows for 0.1 seconds
    Then forwarding checks that back end, and only that one

  Scenario: An opening packet that is followed by another one checks nothing
    Given a forwarding node with routes and back ends
    When forwarding passes on an opening packet and the next one of its flow
    Then forwarding checks no back end

  Scenario: A peer's word makes a balancer with flows there check at once, others with their next packet
    Given a forwarding node with routes and back ends
    When forwarding has seen flows of back end 1 and peers cannot reach back ends 1 and 2
    Then forwarding checks back end 1 at once, and no other

  Scenario: Flows that rest on a back end that is gone are reset, in steps that hold up no packets
    Given a forwarding node with routes and back ends
    When forwarding has seen 250 flows of back end 1 and some of others, and finds 1 unreachable
    Then forwarding resets those 250 flows in three steps, each as its caller's last packet, and no other

  Scenario: A back end that may live has none of its flows reset
    Then forwarding property: flows are reset only on a verdict of its own on their back end

  Scenario: A check whose control is silent too is repeated at once with other ones, a few times
    Given a forwarding node with routes and back ends
    When forwarding passes on a request and its repetition
    Then forwarding checks it three times, each with another control, while the results are unknown
    And forwarding checks no back end

  Scenario: The first rule that applies decides on a packet of an open flow
    Then forwarding property: rules for an open flow apply in their order, whatever else is true

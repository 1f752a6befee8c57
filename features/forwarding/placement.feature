Feature: New flows go to permitted back ends, in the shares configured by the operator

  Scenario: Shares are kept over time, also for few flows
    Then forwarding property: weighted round robin stays within two flows of every share

  Scenario: A back end that has announced that it is leaving gets no new flow
    Then forwarding property: no flow is placed on a back end that is leaving, departed or in a forbidden hall

  Scenario: An empty list does not leave a service without back ends at once
    Given a forwarding node with routes and back ends
    When forwarding reads an empty list of back ends
    Then forwarding places flows on back ends that departed unannounced for two seconds, then on none

  Scenario: A back end whose entry expired and reappeared gets new flows again
    Given a forwarding node with routes and back ends
    When forwarding reads an empty list of back ends and then the complete list again
    Then forwarding places flows on every back end

  Scenario: A retransmitted opening packet goes to another back end
    Given a forwarding node with routes and back ends
    When forwarding receives a retransmission of an opening packet
    Then forwarding forwards it to another back end of the same service

  Scenario: A cold back end gets fewer flows
    Given a forwarding node with routes and back ends
    When forwarding receives the entry of a cold back end
    Then forwarding places less than half of an equal share of flows on it

  Scenario: A back end that answers slowly gets few new flows, and is tried again later
    Given a forwarding node with routes and back ends
    When forwarding observes one back end answering eight times slower than the others
    Then forwarding places less than a fifth of an equal share of flows on it
    And forwarding places an equal share of flows on it again 20 seconds later

  Scenario: A back end whose callers give up gets few new flows
    Given a forwarding node with routes and back ends
    When forwarding observes callers of one back end closing flows without an answer
    Then forwarding places less than a fifth of an equal share of flows on it

  Scenario: Back ends that are all slow share the flows equally
    Given a forwarding node with routes and back ends
    When forwarding observes all back ends answering slowly
    Then forwarding places an equal share of flows on each of them

  Scenario: A latency estimate stays within the observed range and expires
    Then forwarding property: an estimated latency is within the observed range, and unknown 20 seconds later

  Scenario: A flow without a route or without a back end is refused at once
    Given a forwarding node with routes and back ends
    Then forwarding resets a flow to an endpoint without a route
    And forwarding resets a flow to a service without back ends

  Scenario: The rules for opening packets apply in their order
    Then forwarding property: the rules for a new flow apply in their order in every situation

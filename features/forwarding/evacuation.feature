Feature: An evacuated zone gets no new flow, and keeps those that are open

  Scenario: Evacuations reach all within two seconds, whatever else changes and gets lost
    Then forwarding property: zones evacuated and taken back are known to a fleet with losses within 2 seconds

  Scenario: Evacuations reach all while the store refuses a third and processes start anew
    Then forwarding property: evacuations reach a fleet of which a third is refused and some restart

  Scenario: The newer of two sets of evacuated zones stays in force, in whatever order they come
    Then forwarding property: the newest set of evacuated zones is in force in any order of messages

  Scenario: A read that fails forgets no evacuation
    Given a forwarding node with routes and back ends
    When forwarding learns that zone north is evacuated and its reads fail
    Then forwarding refuses a new flow at once for want of a back end

  Scenario: Flows that are open stay, new ones go elsewhere or are refused at once
    Then forwarding property: no new flow goes to an evacuated zone, and every open flow stays

  Scenario: A zone that is taken back gets few flows until its back ends must be warm
    Given a forwarding node that spares back ends after a start
    When forwarding learns that zone south is evacuated and taken back
    Then forwarding places no flow in zone south for 2 seconds, and some then

Feature: A back end that is slow from its start is given no more than it bears, by all together

  Scenario: Openings in any one second stay within the limit, whatever part of the fleet is cold
    Then forwarding property: in no second a cold back end is opened more often than it bears

  Scenario: Openings stay within the limit while processes are killed and the fleet is parted
    Then forwarding property: cold back ends are spared while views of the fleet differ

  Scenario: A service whose back ends are all cold is still given flows
    Then a fleet opens some flows of a service whose back ends are all cold

  Scenario: Without a limit in the settings a cold back end only counts as smaller
    Given a forwarding node with routes and back ends
    When forwarding learns of a back end that is slow from its start
    Then forwarding gives it less than half of an equal part

Feature: A flow stays within the regions of its route

  Scenario: No flow leaves the regions of its route, by whatever way it is placed
    Then forwarding property: first, second and last choices stay within the regions of a route

  Scenario: A zone of an unknown region takes no flow of a route with regions
    Then forwarding refuses a flow whose route names regions when it knows no region of any zone

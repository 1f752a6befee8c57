Feature: A flow stays within the regions of its route

  Scenario: No flow leaves the regions of its route, whichever rule places it
    Then forwarding property: first, second and last-resort choices stay within the regions of a route

  Scenario: A hall of an unknown region gets no flow of a route that names regions
    Then forwarding refuses a flow whose route names regions if the region of no hall is known

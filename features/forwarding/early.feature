Feature: A balancer forwards while the rest of it is loaded

  Scenario: However long loading takes, new flows are placed and no sleep is noticed
    Given a forwarding balancer that loads ten modules of 0.2 seconds each
    When forwarding is sent a new flow before each module
    Then forwarding has placed a flow after each module and noticed no sleep

  Scenario: Packets are taken between the modules that one module needs
    When forwarding loads a module that needs three others
    Then forwarding has looked for packets at least four times, never within a look

  Scenario: The finder that looks for packets is gone once all is loaded
    When forwarding loads a module that needs three others
    Then no finder of forwarding is left

  Scenario: A read that is under way when all is loaded is finished, not begun anew
    Given a forwarding balancer whose store sends the routes in two halves
    When the second half comes after everything is loaded
    Then forwarding knows the routes after one request

  Scenario: A read whose answer stops coming while all is loaded fails
    Given a forwarding balancer whose store sends the routes in two halves
    When the second half never comes
    Then forwarding takes the read as timed out

Feature: The event loop of the process on the platform

  Scenario: Waits end when they should, whatever else is waited for
    Then loop property: each wait ends at its stream's moment or at its deadline, in the order of time

  Scenario: A callback is called as long as its socket can be read from
    When an event loop watches a socket that is sent three datagrams
    Then the event loop has called back until all three were read

  Scenario: A deadline that moves is followed
    When an event loop follows a deadline that moves by 0.3 seconds each time
    Then the event loop has called at each of the deadlines

  Scenario: An error in a coroutine ends the loop, and what still waits is closed
    When a coroutine of an event loop fails while another one waits
    Then the event loop has ended with that error and the other coroutine is closed

  Scenario: A connection beyond those served at once is closed, and room is made by one that ends
    When 3 connections come to an event loop that serves 2 at once
    Then the event loop has closed the third one and counted it
    And the event loop serves another one after the first has ended

  Scenario: A connection that cannot be accepted does not keep the loop busy
    When an event loop cannot accept for a second
    Then the event loop has tried at most 25 times, and accepts again once it can

  Scenario: What the balancer loads before its sockets are bound
    Then the balancer on the platform loads next to nothing before it binds its sockets

  Scenario: What the balancer loads at its start
    Then the balancer on the platform loads neither trio nor h11 nor what takes as long

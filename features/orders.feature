Feature: Orders to targets

  Scenario Outline: no old order takes effect after a newer one
    When orders of two successive agents to a target that <target> fencing numbers are explored <case>
    Then no old order takes effect after a newer one
    And the newest desired version is in force at rest

    Examples:
      | target  | case                                                       |
      | checks  | with every order settled                                   |
      | ignores | with every order settled                                   |
      | checks  | with late orders                                           |
      | checks  | with every order settled and a clock that went back        |

  Scenario: reconciliation corrects an old order that took effect late
    When orders of two successive agents to a target that ignores fencing numbers are explored with late orders
    Then an old order takes effect after a newer one
    But the newest desired version is in force at rest

  Scenario: fencing numbers that start again are refused permanently
    When orders of two successive agents to a target that checks fencing numbers are explored with numbers that start again
    Then the newest desired version is not in force at rest

  Scenario: a paused agent sends no order before it receives a heartbeat
    Given an agent that may send orders
    When it is paused for 60 seconds
    Then it sends no order
    When a heartbeat arrives 0 seconds after the pause
    Then it sends no order
    When a heartbeat arrives 2 seconds after the pause
    Then it sends an order

  Scenario: a new agent waits until no order of its predecessor is in flight
    Given an agent that has just started
    When a heartbeat arrives 2 seconds after the start
    Then it sends no order
    When a heartbeat arrives 5 seconds after the start
    Then it sends an order

  Scenario: a model version is loaded across a restart of the agent
    Given a fleet with 1 engines, 1 plain service and 1 entries
    When model version m1 is published for the engine
    Then the engine has model version m1
    When the agent of the engine is killed and started again
    And model version m2 is published for the engine
    Then the engine has model version m2
    And its fencing number has increased

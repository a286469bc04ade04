Feature: Orders to targets

  Scenario Outline: no old order takes effect after a newer one
    When orders of two agents in turn to a target that <target> are explored <case>
    Then no old order takes effect after a newer one
    And the newest wish is in force at rest

    Examples:
      | target  | case                                                       |
      | checks  | with every order settled                                   |
      | ignores | with every order settled                                   |
      | checks  | with late orders                                           |
      | checks  | with every order settled and a clock that went back        |

  Scenario: the window that remains is reconciled
    When orders of two agents in turn to a target that ignores are explored with late orders
    Then an old order takes effect after a newer one
    But the newest wish is in force at rest

  Scenario: numbers that start again are refused for ever
    When orders of two agents in turn to a target that checks are explored with numbers that start again
    Then the newest wish is not in force at rest

  Scenario: an agent that was paused gives no order before it hears an entry
    Given an agent that may order its target
    When it is paused for 60 seconds
    Then it gives no order
    When an entry is heard 0 seconds after the pause
    Then it gives no order
    When an entry is heard 2 seconds after the pause
    Then it gives an order

  Scenario: a fresh agent waits until no order of its predecessor is under way
    Given an agent that has just started
    When an entry is heard 2 seconds after the start
    Then it gives no order
    When an entry is heard 5 seconds after the start
    Then it gives an order

  Scenario: a model version is loaded across a restart of the agent
    Given a fleet with 1 engines, 1 plain service and 1 entries
    When model version m1 is published for the engine
    Then the engine has model version m1
    When the agent of the engine is killed and started again
    And model version m2 is published for the engine
    Then the engine has model version m2
    And its fencing number rose

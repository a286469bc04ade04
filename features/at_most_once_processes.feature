Feature: A lot is accepted at most once across process failures

  Scenario: the home is killed during a call
    Given a fleet with two homes of keys
    When a lot is being accepted through the first entry and its home is killed
    And the same key is retried through the second entry until it is refused
    Then no caller was told that the lot was accepted or that it was not run
    And the lot ran once
    And a new UUIDv7 key runs at the restarted home

  Scenario: the home is paused, its service moves to another instance, and it resumes
    Given a fleet with two homes of keys
    When the home of a lot is paused and a lot is sent through the first entry
    And the service moves to the other instance
    Then a retry through the second entry is refused as "home_unreachable"
    When the home resumes
    And the same key is retried through the second entry until it is answered
    Then the lot ran once

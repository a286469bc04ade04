Feature: Tasks that are cancelled end at once

  Scenario: a task that does not end when it is cancelled is not named in the log
    Given a supervisor with a task "steady" that ends and a task "stuck" that does not
    When the supervisor stops its tasks
    Then the stop fails with an error that names "stuck" only
    And the log names "stuck" only, and the call in which it waits

Feature: What must always hold

  Scenario: A session reads its own writes, also on replicas far behind
    Given a nile-grain site whose replicas lag 0.05 and 0.5 seconds
    When a session writes and reads back 20 times
    Then every read shows the session's last write
    And some reads were served by replicas

  Scenario: A session keeps its writes when it roams to another proxy
    Given a nile-grain site whose replicas lag 0.05 and 0.5 seconds
    When a session writes at one VM and reads at another with its token
    Then every read shows the session's last write

  Scenario: A replaced primary acknowledges nothing
    Given a nile-grain site under load
    When the fault zone_of_primary_cut_off lasts 4 seconds
    Then no promise is broken
    And writes land again within 5 seconds

  Scenario: Statements of two transactions never mix
    Given a nile-grain site
    When two transactions write in turns and only the first commits
    Then the log holds the first transaction whole and nothing of the second

  Scenario: Each caller receives its own whole answer, also a late one
    Given a nile-grain site under load
    When the fault primary_paused lasts 3 seconds
    Then no promise is broken
    And no answer reached a caller that had not asked

  Scenario: What is told as not run was not run
    Given a nile-grain site
    When 200 writes with a deadline of 0.05 seconds come at once
    Then some are refused with a time to try again
    And no refused write is in the log

  Scenario: A non-idempotent write runs at most once
    Given a nile-grain site under load
    When the fault gate_vm_killed happens
    Then no promise is broken

  Scenario: A write with a key lands once, however often it is sent
    Given a nile-grain site
    When the same keyed write is sent 4 times by different sessions
    Then it is in the log once and every sender is told it is done

  Scenario: A leaving backend server gets no new work
    Given a nile-grain site under load
    When the primary is leaving
    Then it gets no new work after 2 seconds
    And no promise is broken

  Scenario: A graceful shutdown cuts off no request
    Given a nile-grain site under load
    When a VM is drained
    Then no outcome is unknown
    And no promise is broken

  Scenario: An accepted configuration is in force everywhere and stays
    Given a nile-grain site
    When a configuration is accepted
    Then it is in force on every VM within 7 seconds
    And an older version that is read or offered changes nothing

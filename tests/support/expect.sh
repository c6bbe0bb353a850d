# Assertions for the tests that are shell scripts; sourced by them.

EXPECT_PASSED=0
EXPECT_FAILED=0

# expect DESCRIPTION EXPECTED ACTUAL: counts a check, and prints it if the two values differ.
expect() {
    if [ "$2" = "$3" ]; then
        EXPECT_PASSED=$((EXPECT_PASSED + 1))
        return 0
    fi
    EXPECT_FAILED=$((EXPECT_FAILED + 1))
    printf 'FAILED: %s\n  expected: %s\n  actual:   %s\n' "$1" "$2" "$3"
}

# finish_expectations: prints the counts; fails if any check failed, which ends a script under `set -e`.
finish_expectations() {
    echo "$EXPECT_PASSED passed, $EXPECT_FAILED failed"
    [ "$EXPECT_FAILED" -eq 0 ]
}

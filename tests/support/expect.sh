# Checks of the process tests; sourced.

EXPECT_PASSED=0
EXPECT_FAILED=0

# expect WHAT EXPECTED ACTUAL
expect() {
    if [ "$2" = "$3" ]; then
        EXPECT_PASSED=$((EXPECT_PASSED + 1))
        return 0
    fi
    EXPECT_FAILED=$((EXPECT_FAILED + 1))
    printf 'FAILED: %s\n  expected: %s\n  actual:   %s\n' "$1" "$2" "$3"
}

# finish_expectations: prints the counts and ends the script with the verdict.
finish_expectations() {
    echo "$EXPECT_PASSED passed, $EXPECT_FAILED failed"
    [ "$EXPECT_FAILED" -eq 0 ]
}

# Functions that send non-idempotent requests; sourced after scripts/fleet.sh. The organisation's token is "token".

auth=(-H "Authorization: Bearer token")

# new_key: prints a new idempotency key for the service "orders".
new_key() {
    curl -sS "http://$ENTRY_A/v1/keys" "${auth[@]}" -d '{"service":"orders"}' |
        sed -n 's/.*"idempotency_key":"\([^"]*\)".*/\1/p'
}

# pay ENTRY KEY BODY: prints the answer, then its status.
pay() {
    curl -sS --max-time 20 -w ' %{http_code}' "http://$1/v1/services/orders/payments" "${auth[@]}" \
        -H "Idempotency-Key: $2" -d "$3" || echo "no answer"
}

# executions KEY: prints how often the plain service executed a key.
executions() { curl -sS "http://$PLAIN/executions" | grep -o "\"key\":\"$1\"" | wc -l; }

# outcome ANSWER: prints the outcome in a problem document.
outcome() { sed -n 's/.*"outcome":"\([^"]*\)".*/\1/p' <<<"$1"; }

# pay_until_definite ENTRY KEY BODY: retries with the same key while the outcome allows it, up to 10 times.
pay_until_definite() {
    local answer
    for _ in 1 2 3 4 5 6 7 8 9 10; do
        answer="$(pay "$@")"
        case "$(outcome "$answer")" in
            not-sent | rejected) sleep 0.5 ;;
            *) break ;;
        esac
    done
    echo "$answer"
}

package wharfhinge.policy;

/** Token bucket that limits retries and hedged requests to a share of this dispatcher's requests. */
final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.25;
    private static final double CAPACITY = 20;

    private double tokens = CAPACITY;

    void onRequest() {
        tokens = Math.min(CAPACITY, tokens + TOKENS_PER_REQUEST);
    }

    boolean canSpend(double cost) {
        return tokens >= cost;
    }

    void spend(double cost) {
        tokens -= cost;
    }
}

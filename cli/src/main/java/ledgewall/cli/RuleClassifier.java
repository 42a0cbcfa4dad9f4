package ledgewall.cli;

import java.util.HashMap;
import java.util.Map;
import ledgewall.RoutingPolicy.RequestClass;
import ledgewall.net.Classifier;
import ledgewall.net.RouterConfig;
import ledgewall.pg.Classification;
import ledgewall.rules.Decision;
import ledgewall.rules.Limiter;
import ledgewall.rules.Rule;

/**
 * Classifies requests by a rule table and applies the limit of the rule that matches. Each loaded rules file has its own
 * instance.
 */
final class RuleClassifier implements Classifier {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    private final RulesFile rules;
    private final String listenerName;
    private final RequestAttributes requestAttributes;
    private final Decision decision = new Decision();
    /** The maximum wait in ms for each class, used if a rule sets none. */
    private final Map<String, Long> defaultWaitMsByClass = new HashMap<>();
    /** Limiters by rule name. A rule whose limit a reload doesn't change keeps its limiter and the requests counted in it. */
    private final Map<String, Limiter> limitersByRule = new HashMap<>();

    /**
     * Creates a classifier.
     *
     * @param previous the classifier that this one replaces, or null
     */
    RuleClassifier(RulesFile rules, RouterConfig config, RuleClassifier previous) {
        this.rules = rules;
        this.listenerName = config.name();
        this.requestAttributes = new RequestAttributes(rules.table().schema());
        for (int i = 0; i < config.vocabulary().classes().size(); i++) {
            RequestClass requestClass = config.settings().classes().get(i);
            defaultWaitMsByClass.put(config.vocabulary().classes().get(i),
                Math.max(1, requestClass.timeout() / NANOS_PER_MILLISECOND));
        }
        for (int i = 0; i < rules.table().size(); i++) {
            Rule rule = rules.table().rule(i);
            if (rule.limit() != null) {
                limitersByRule.put(rule.name(), previous != null && previous.hasSameLimit(rule)
                    ? previous.limitersByRule.get(rule.name()) : new Limiter(rule.limit()));
            }
        }
    }

    /** Whether this classifier has a rule of the same name with an equal limit. */
    private boolean hasSameLimit(Rule rule) {
        for (int i = 0; i < rules.table().size(); i++) {
            Rule ownRule = rules.table().rule(i);
            if (ownRule.name().equals(rule.name())) {
                return rule.limit().equals(ownRule.limit());
            }
        }
        return false;
    }

    @Override
    public boolean overridesComments() {
        return rules.overridesComments();
    }

    @Override
    public Result classify(Request request) {
        rules.table().decide(requestAttributes.fill(request, listenerName), decision);
        if (!decision.matched()) {
            return new Unknown("no rule says what this statement is");
        }
        long waitMs = decision.maxWaitNs() < 0 ? defaultWaitMsByClass.get(decision.requestClass())
            : Math.max(1, decision.maxWaitNs() / NANOS_PER_MILLISECOND);
        Classification classification = new Classification(decision.requestClass(),
            decision.tenant() == null ? "" : decision.tenant(),
            Math.max(0, decision.group()), decision.session(), waitMs, decision.retry());
        String limitKey = decision.limitKey();
        if (limitKey == null) {
            return new Known(classification, null);
        }
        Limiter limiter = limitersByRule.get(decision.ruleName());
        return limiter.admit(limitKey, request.now()) == Limiter.Admission.ADMITTED
            ? new Known(classification, () -> limiter.release(limitKey))
            : new Limited(Math.max(NANOS_PER_MILLISECOND, limiter.retryAfterNs(limitKey, request.now())));
    }

    /** The number of requests that each rule matched, and that none matched, as text for a log line. */
    String matchCounts() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < rules.table().size(); i++) {
            text.append(rules.table().rule(i).name()).append('=').append(rules.table().matchCount(i)).append(' ');
        }
        return text.append("none=").append(rules.table().unmatchedCount()).toString();
    }
}

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

/** Asks the rule table, then the limits of the rule that it names. One for each table that is taken over. */
final class RuleClassifier implements Classifier {
    private static final long MILLISECOND = 1_000_000L;

    private final RulesFile rules;
    private final String name;
    private final Attributes attributes;
    private final Decision decision = new Decision();
    /** The longest wait of each class, in ms, where a rule says none. */
    private final Map<String, Long> deadlines = new HashMap<>();
    /** By the rule's name; a rule that a reload leaves as it is keeps its own, with all that is in hand. */
    private final Map<String, Limiter> limiters = new HashMap<>();

    RuleClassifier(RulesFile rules, RouterConfig config, RuleClassifier before) {
        this.rules = rules;
        this.name = config.name();
        this.attributes = new Attributes(rules.table().schema());
        for (int i = 0; i < config.vocabulary().classes().size(); i++) {
            RequestClass kind = config.settings().classes().get(i);
            deadlines.put(config.vocabulary().classes().get(i), Math.max(1, kind.timeout() / MILLISECOND));
        }
        for (int i = 0; i < rules.table().size(); i++) {
            Rule rule = rules.table().rule(i);
            if (rule.limit() != null) {
                limiters.put(rule.name(), before != null && before.keeps(rule) ? before.limiters.get(rule.name())
                    : new Limiter(rule.limit()));
            }
        }
    }

    private boolean keeps(Rule rule) {
        for (int i = 0; i < rules.table().size(); i++) {
            Rule own = rules.table().rule(i);
            if (own.name().equals(rule.name())) {
                return rule.limit().equals(own.limit());
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
        rules.table().decide(attributes.of(request, name), decision);
        if (!decision.matched()) {
            return new Unknown("no rule says what this statement is");
        }
        long wait = decision.longestWait() < 0 ? deadlines.get(decision.requestClass())
            : Math.max(1, decision.longestWait() / MILLISECOND);
        Classification as = new Classification(decision.requestClass(), decision.tenant() == null ? "" : decision.tenant(),
            Math.max(0, decision.group()), decision.session(), wait, decision.retry());
        String key = decision.limitKey();
        if (key == null) {
            return new Known(as, null);
        }
        Limiter limiter = limiters.get(decision.name());
        return limiter.admit(key, request.now()) == Limiter.Verdict.ADMITTED ? new Known(as, () -> limiter.release(key))
            : new Limited(Math.max(MILLISECOND, limiter.retryAfter(key, request.now())));
    }

    /** How often each rule matched, and what matched none: for a log line. */
    String counts() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < rules.table().size(); i++) {
            text.append(rules.table().rule(i).name()).append('=').append(rules.table().matches(i)).append(' ');
        }
        return text.append("none=").append(rules.table().unmatched()).toString();
    }
}

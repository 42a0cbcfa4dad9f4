package ledgewall.standin;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records when each attempt of a request reached a host, by the request's id. */
public final class ArrivalLog {
    private final String idPrefix;
    private final Map<String, List<Long>> arrivals = new ConcurrentHashMap<>();

    /** Records requests whose id begins with the prefix. */
    public ArrivalLog(String idPrefix) {
        this.idPrefix = idPrefix;
    }

    /** Records that the last byte of a query has come. */
    public void record(String sql) {
        int start = sql.indexOf("id=") + "id=".length();
        int end = sql.indexOf(',', start);
        String id = end < 0 ? "" : sql.substring(start, end);
        if (id.startsWith(idPrefix)) {
            arrivals.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(System.nanoTime());
        }
    }

    /** The times of {@link System#nanoTime()} at which the request reached a host, one for each attempt. */
    public List<Long> arrivalsOf(String id) {
        return arrivals.getOrDefault(id, List.of());
    }
}

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builder of one version of the operator's configuration. */
final class OperatorConfig {
    private final Map<String, Object> document = new LinkedHashMap<>();
    private final List<Object> routes = new ArrayList<>();
    private final List<Object> services = new ArrayList<>();
    private final List<Object> tenants = new ArrayList<>();

    OperatorConfig(long version) {
        document.put("version", String.format("%08x", version));
        document.put("routes", routes);
        document.put("services", services);
        document.put("limits", Map.of("maxHeaderBytes", 16_384, "maxBodyBytes", 67_108_864, "headerTimeoutS", 3, "idleTimeoutS", 15));
        document.put("tenants", tenants);
    }

    OperatorConfig route(String name, String host, String prefix, String kind, String service, int attempts) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", host);
        route.put("prefix", prefix);
        route.put("kind", kind);
        route.put("timeoutS", 5);
        route.put("targetLatencyS", 1.5);
        route.put("priority", 0);
        route.put("service", service);
        route.put("attempts", attempts);
        route.put("public", false);
        routes.add(route);
        return this;
    }

    OperatorConfig service(String name) {
        services.add(Map.of("name", name, "healthPath", "/health", "maxConnections", 724, "protocol", "h1", "tls", false));
        return this;
    }

    /** Adds a tenant whose quota no case reaches. */
    OperatorConfig tenant(String name, String... keys) {
        return tenant(name, 500, 500, keys);
    }

    OperatorConfig tenant(String name, int ratePerS, int burst, String... keys) {
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("name", name);
        tenant.put("apiKeys", List.of(keys));
        tenant.put("priority", 1);
        tenant.put("ratePerS", ratePerS);
        tenant.put("burst", burst);
        tenants.add(tenant);
        return this;
    }

    String text() {
        return Json.write(document);
    }
}

// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Determines the tenant of a request from its attributes. Immutable, so any thread may use it.
 * Tenants are identified by their index in the settings. The most specific attribute that matches
 * decides: the option of the call, the login, the session's catalog, the local address, the range
 * of the client's address, and finally the default tenant.
 */
public final class TenantRules {
    /** The attributes of a request; null for those that its protocol does not have. */
    public record RequestAttributes(
            String option,
            String login,
            String catalog,
            InetSocketAddress localAddress,
            InetAddress clientAddress) {
        /** A request without attributes. */
        public static final RequestAttributes NONE =
                new RequestAttributes(null, null, null, null, null);
    }

    /** The attributes that identify one tenant; each list may be empty. */
    public record TenantMatchers(
            List<String> logins,
            List<String> catalogs,
            List<InetSocketAddress> localAddresses,
            List<AddressRange> clientRanges) {
        /** Copies the lists. */
        public TenantMatchers {
            logins = List.copyOf(logins);
            catalogs = List.copyOf(catalogs);
            localAddresses = List.copyOf(localAddresses);
            clientRanges = List.copyOf(clientRanges);
        }
    }

    private record ClientRule(AddressRange range, int tenant) {}

    private final BudgetSettings settings;
    private final Map<String, Integer> tenantByName = new HashMap<>();
    private final Map<String, Integer> tenantByLogin = new HashMap<>();
    private final Map<String, Integer> tenantByCatalog = new HashMap<>();
    private final Map<InetSocketAddress, Integer> tenantByLocalAddress = new HashMap<>();
    private final List<ClientRule> clientRules = new ArrayList<>();
    private final int defaultTenant;

    /**
     * Creates the rules for the configured tenants.
     *
     * @param matchers by tenant name; tenants must not share attributes or have overlapping ranges
     * @param defaultTenant tenant of requests without a matching attribute
     * @throws BudgetException.InvalidSetting if two tenants share an attribute or have overlapping
     *     ranges
     */
    public TenantRules(
            BudgetSettings settings, Map<String, TenantMatchers> matchers, String defaultTenant) {
        this.settings = settings;
        this.defaultTenant = settings.tenantIndex(defaultTenant);
        for (int tenant = 0; tenant < settings.tenants().size(); tenant++) {
            String name = settings.tenants().get(tenant).name();
            tenantByName.put(name, tenant);
            TenantMatchers tenantMatchers = matchers.get(name);
            if (tenantMatchers != null) {
                addAll("logins", tenantByLogin, tenantMatchers.logins(), tenant);
                addAll("catalogs", tenantByCatalog, tenantMatchers.catalogs(), tenant);
                addAll("listen", tenantByLocalAddress, tenantMatchers.localAddresses(), tenant);
                addClientRules(tenantMatchers.clientRanges(), tenant);
            }
        }
    }

    private <T> void addAll(String key, Map<T, Integer> index, List<T> attributes, int tenant) {
        for (T attribute : attributes) {
            Integer other = index.putIfAbsent(attribute, tenant);
            if (other != null && other != tenant) {
                throw sharedAttribute(tenant, key, attribute, other);
            }
        }
    }

    private void addClientRules(List<AddressRange> ranges, int tenant) {
        for (AddressRange range : ranges) {
            for (ClientRule rule : clientRules) {
                if (rule.range().overlaps(range) && rule.tenant() != tenant) {
                    throw sharedAttribute(tenant, "clients", range, rule.tenant());
                }
            }
            clientRules.add(new ClientRule(range, tenant));
        }
    }

    private BudgetException sharedAttribute(int tenant, String key, Object attribute, int other) {
        return new BudgetException.InvalidSetting(
                "tenants." + settings.tenants().get(tenant).name() + "." + key,
                "'" + attribute + "' is tenant " + settings.tenants().get(other).name() + "'s");
    }

    /**
     * The index of the request's tenant. An option that names no configured tenant is ignored, so
     * that clients cannot bypass the operators' rules.
     */
    public int tenantOf(RequestAttributes request) {
        Integer tenant = lookUp(tenantByName, request.option());
        if (tenant == null) {
            tenant = lookUp(tenantByLogin, request.login());
        }
        if (tenant == null) {
            tenant = lookUp(tenantByCatalog, request.catalog());
        }
        if (tenant == null) {
            tenant = lookUp(tenantByLocalAddress, request.localAddress());
        }
        return tenant != null ? tenant : tenantByClientAddress(request.clientAddress());
    }

    private static <T> Integer lookUp(Map<T, Integer> index, T attribute) {
        return attribute == null ? null : index.get(attribute);
    }

    private int tenantByClientAddress(InetAddress client) {
        if (client == null) {
            return defaultTenant;
        }
        byte[] address = client.getAddress();
        for (ClientRule rule : clientRules) {
            if (rule.range().contains(address)) {
                return rule.tenant();
            }
        }
        return defaultTenant;
    }
}

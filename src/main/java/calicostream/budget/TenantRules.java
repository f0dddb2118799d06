// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the tenant of a request from its attributes. Immutable, so any thread may use it; tenants
 * are indexes of the settings. The attribute that is closest to the request decides: the call's own
 * option, the login, the session's catalog, the local address, the range of the client's address,
 * then the default.
 */
public final class TenantRules {
    /** What is known of a request; null where its protocol has no such attribute. */
    public record RequestAttributes(
            String option,
            String login,
            String catalog,
            InetSocketAddress localAddress,
            InetAddress clientAddress) {
        /** Nothing is known of the request. */
        public static final RequestAttributes NONE =
                new RequestAttributes(null, null, null, null, null);
    }

    /** The attributes that belong to one tenant; each list may be empty. */
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
    private final Map<String, Integer> byName = new HashMap<>();
    private final Map<String, Integer> byLogin = new HashMap<>();
    private final Map<String, Integer> byCatalog = new HashMap<>();
    private final Map<InetSocketAddress, Integer> byLocalAddress = new HashMap<>();
    private final List<ClientRule> clientRules = new ArrayList<>();
    private final int defaultTenant;

    /**
     * Rules for the tenants of the settings.
     *
     * @param matchers by the tenant's name; no two tenants may share an attribute or a part of a
     *     range
     * @param defaultTenant the tenant of requests that no attribute matches
     * @throws BudgetException.BadSetting if two tenants share an attribute
     */
    public TenantRules(
            BudgetSettings settings, Map<String, TenantMatchers> matchers, String defaultTenant) {
        this.settings = settings;
        this.defaultTenant = settings.tenantIndex(defaultTenant);
        for (int tenant = 0; tenant < settings.tenants().size(); tenant++) {
            String name = settings.tenants().get(tenant).name();
            byName.put(name, tenant);
            TenantMatchers own = matchers.get(name);
            if (own != null) {
                addAll("logins", byLogin, own.logins(), tenant);
                addAll("catalogs", byCatalog, own.catalogs(), tenant);
                addAll("listen", byLocalAddress, own.localAddresses(), tenant);
                addClientRules(own.clientRanges(), tenant);
            }
        }
    }

    private <T> void addAll(String key, Map<T, Integer> index, List<T> attributes, int tenant) {
        for (T attribute : attributes) {
            Integer other = index.putIfAbsent(attribute, tenant);
            if (other != null && other != tenant) {
                throw shared(tenant, key, attribute, other);
            }
        }
    }

    private void addClientRules(List<AddressRange> ranges, int tenant) {
        for (AddressRange range : ranges) {
            for (ClientRule rule : clientRules) {
                if (rule.range().overlaps(range) && rule.tenant() != tenant) {
                    throw shared(tenant, "clients", range, rule.tenant());
                }
            }
            clientRules.add(new ClientRule(range, tenant));
        }
    }

    private BudgetException shared(int tenant, String key, Object attribute, int other) {
        return new BudgetException.InvalidSetting(
                "tenants." + settings.tenants().get(tenant).name() + "." + key,
                "'" + attribute + "' is tenant " + settings.tenants().get(other).name() + "'s");
    }

    /**
     * The index of the request's tenant. An option that names no tenant is ignored: it must not
     * decide anything that the operators have not set.
     */
    public int tenantOf(RequestAttributes request) {
        Integer tenant = lookUp(byName, request.option());
        if (tenant == null) {
            tenant = lookUp(byLogin, request.login());
        }
        if (tenant == null) {
            tenant = lookUp(byCatalog, request.catalog());
        }
        if (tenant == null) {
            tenant = lookUp(byLocalAddress, request.localAddress());
        }
        return tenant != null ? tenant : byClientAddress(request.clientAddress());
    }

    private static <T> Integer lookUp(Map<T, Integer> index, T attribute) {
        return attribute == null ? null : index.get(attribute);
    }

    private int byClientAddress(InetAddress client) {
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

// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Which tenant a request is of, from what its wire tells. Immutable, so any thread may ask; answers
 * are the tenants' places in the settings. What is told closest to the request counts first: the
 * call's own word, the login, the session's catalog, the address it came in at, the range of the
 * client's address, the default.
 */
public final class TenantRules {
    /** What is known of a request; null where its wire has no such word. */
    public record RequestAttributes(
            String option,
            String login,
            String catalog,
            InetSocketAddress localAddress,
            InetAddress clientAddress) {
        public static final RequestAttributes NONE =
                new RequestAttributes(null, null, null, null, null);
    }

    /** By what a tenant is known; each may be empty. */
    public record TenantMatchers(
            List<String> logins,
            List<String> catalogs,
            List<InetSocketAddress> localAddresses,
            List<AddressRange> clientRanges) {
        public TenantMatchers {
            logins = List.copyOf(logins);
            catalogs = List.copyOf(catalogs);
            localAddresses = List.copyOf(localAddresses);
            clientRanges = List.copyOf(clientRanges);
        }
    }

    /** Addresses that begin with the same bits; a single one has all of them. */
    public static final class AddressRange {
        private static final Pattern FORM =
                Pattern.compile("([0-9.]+|[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*)(/([0-9]{1,3}))?");
        private final byte[] address;
        private final int bits;

        private AddressRange(byte[] address, int bits) {
            this.address = address;
            this.bits = bits;
        }

        /**
         * Such as 10.1.0.0/16 or fd00::/8; null where the text is none, or has bits beyond its
         * length.
         */
        public static AddressRange parse(String text) {
            Matcher form = FORM.matcher(text);
            if (!form.matches()
                    || text.indexOf(':') < 0
                            && form.group(1).chars().filter(c -> c == '.').count() != 3) {
                return null;
            }
            try {
                byte[] address =
                        InetAddress.getByName(form.group(1))
                                .getAddress(); // Digits only: no name is asked for.
                int bits =
                        form.group(3) == null
                                ? address.length * 8
                                : Integer.parseInt(form.group(3));
                AddressRange range = new AddressRange(address, bits);
                return bits > address.length * 8 || !range.isAligned() ? null : range;
            } catch (UnknownHostException none) {
                return null;
            }
        }

        private boolean isAligned() {
            for (int bit = bits; bit < address.length * 8; bit++) {
                if ((address[bit / 8] >> 7 - bit % 8 & 1) != 0) {
                    return false;
                }
            }
            return true;
        }

        /** Whether some address is in both. */
        public boolean overlaps(AddressRange other) {
            return address.length == other.address.length
                    && same(address, other.address, Math.min(bits, other.bits));
        }

        boolean contains(byte[] client) {
            return address.length == client.length && same(address, client, bits);
        }

        private static boolean same(byte[] one, byte[] other, int bits) {
            for (int i = 0; i < (bits + 7) / 8; i++) {
                int mask = bits - 8 * i >= 8 ? 0xff : 0xff00 >> bits - 8 * i & 0xff;
                if (((one[i] ^ other[i]) & mask) != 0) {
                    return false;
                }
            }
            return true;
        }

        @Override
        public String toString() {
            try {
                return InetAddress.getByAddress(address).getHostAddress() + "/" + bits;
            } catch (UnknownHostException never) {
                throw new IllegalStateException(never);
            }
        }
    }

    private final Map<String, Integer> names = new HashMap<>();
    private final Map<String, Integer> logins = new HashMap<>();
    private final Map<String, Integer> catalogs = new HashMap<>();
    private final Map<InetSocketAddress, Integer> listening = new HashMap<>();
    private final List<AddressRange> ranges = new ArrayList<>();
    private final List<Integer> rangeOf = new ArrayList<>();
    private final int fallback;

    /**
     * @param known by the tenant's name; no two may share a word, an address or a part of a range
     * @param without the tenant of requests of which nothing tells
     * @throws BudgetException.BadSetting if two tenants are known by the same
     */
    public TenantRules(BudgetSettings settings, Map<String, TenantMatchers> known, String without) {
        fallback = settings.tenantIndex(without);
        for (int t = 0; t < settings.tenants().size(); t++) {
            String name = settings.tenants().get(t).name();
            names.put(name, t);
            TenantMatchers by = known.get(name);
            if (by != null) {
                put(name, "logins", logins, by.logins, t);
                put(name, "catalogs", catalogs, by.catalogs, t);
                put(name, "listen", listening, by.localAddresses, t);
                for (AddressRange range : by.clientRanges) {
                    for (int i = 0; i < ranges.size(); i++) {
                        if (ranges.get(i).overlaps(range) && rangeOf.get(i) != t) {
                            throw shared(
                                    name,
                                    "clients",
                                    range,
                                    settings.tenants().get(rangeOf.get(i)).name());
                        }
                    }
                    ranges.add(range);
                    rangeOf.add(t);
                }
            }
        }
    }

    private <T> void put(String tenant, String key, Map<T, Integer> of, List<T> words, int t) {
        for (T word : words) {
            Integer other = of.putIfAbsent(word, t);
            if (other != null && other != t) {
                int at = other;
                throw shared(
                        tenant,
                        key,
                        word,
                        names.entrySet().stream()
                                .filter(each -> each.getValue() == at)
                                .findFirst()
                                .orElseThrow()
                                .getKey());
            }
        }
    }

    private static BudgetException shared(String tenant, String key, Object what, String other) {
        return new BudgetException.BadSetting(
                "tenants." + tenant + "." + key, "'" + what + "' is tenant " + other + "'s");
    }

    /**
     * An option that names no tenant is passed over: it decides nothing that the client's operators
     * have not set.
     */
    public int tenantOf(RequestAttributes told) {
        Integer out = look(names, told.option);
        out = out != null ? out : look(logins, told.login);
        out = out != null ? out : look(catalogs, told.catalog);
        out = out != null ? out : look(listening, told.localAddress);
        return out != null
                ? out
                : told.clientAddress == null ? fallback : byRange(told.clientAddress.getAddress());
    }

    private static <T> Integer look(Map<T, Integer> in, T word) {
        return word == null ? null : in.get(word);
    }

    private int byRange(byte[] client) {
        for (int i = 0; i < ranges.size(); i++) {
            if (ranges.get(i).contains(client)) {
                return rangeOf.get(i);
            }
        }
        return fallback;
    }
}

// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A CIDR range of IP addresses, such as 10.1.0.0/16 or fd00::/8. Immutable. */
public final class AddressRange {
    private static final Pattern FORM =
            Pattern.compile("([0-9.]+|[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*)(/([0-9]{1,3}))?");
    private static final int IPV4_DOTS = 3;

    private final byte[] address;
    private final int prefixBits;

    private AddressRange(byte[] address, int prefixBits) {
        this.address = address;
        this.prefixBits = prefixBits;
    }

    /**
     * Parses a range, or a single address.
     *
     * @return null if the text is neither, or if the address has bits set after the prefix
     */
    public static AddressRange parse(String text) {
        Matcher form = FORM.matcher(text);
        if (!form.matches()) {
            return null;
        }
        String host = form.group(1);
        boolean isIpv6 = text.indexOf(':') >= 0;
        if (!isIpv6 && host.chars().filter(c -> c == '.').count() != IPV4_DOTS) {
            return null;
        }
        try {
            // FORM accepts numeric addresses only, so this does no DNS lookup.
            byte[] address = InetAddress.getByName(host).getAddress();
            int addressBits = address.length * 8;
            int bits = form.group(3) == null ? addressBits : Integer.parseInt(form.group(3));
            AddressRange range = new AddressRange(address, bits);
            return bits > addressBits || !range.isAligned() ? null : range;
        } catch (UnknownHostException invalid) {
            return null;
        }
    }

    private boolean isAligned() {
        for (int bit = prefixBits; bit < address.length * 8; bit++) {
            if ((address[bit / 8] >> 7 - bit % 8 & 1) != 0) {
                return false;
            }
        }
        return true;
    }

    /** Whether at least one address belongs to both ranges. */
    public boolean overlaps(AddressRange other) {
        return address.length == other.address.length
                && hasSamePrefix(address, other.address, Math.min(prefixBits, other.prefixBits));
    }

    boolean contains(byte[] candidate) {
        return address.length == candidate.length && hasSamePrefix(address, candidate, prefixBits);
    }

    private static boolean hasSamePrefix(byte[] first, byte[] second, int bits) {
        for (int i = 0; i < (bits + 7) / 8; i++) {
            int remaining = bits - 8 * i;
            int mask = remaining >= 8 ? 0xff : 0xff00 >> remaining & 0xff;
            if (((first[i] ^ second[i]) & mask) != 0) {
                return false;
            }
        }
        return true;
    }

    @Override
    public String toString() {
        try {
            return InetAddress.getByAddress(address).getHostAddress() + "/" + prefixBits;
        } catch (UnknownHostException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}

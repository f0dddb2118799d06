// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.net.InvalidInputException;

/** A result that an engine sends in pages, each fetched by its number. */
final class PagedResult {
    /** The most pages that a result may have. */
    static final int MAX_PAGES = 64;

    private static final int MAX_RESULT_BYTES = 48_000;
    private static final int MAX_PAGE_BYTES = 6_000;

    private final byte[][] pages;
    private int missing;

    /** A result of so many pages, of which the first is here. */
    PagedResult(int count, byte[] first) throws InvalidInputException {
        pages = new byte[count][];
        pages[0] = checkedPage(first);
        missing = count - 1;
    }

    /** Pages that have not come yet. */
    int missing() {
        return missing;
    }

    boolean isComplete() {
        return missing == 0;
    }

    /** Adds a page; a duplicate is ignored. Returns whether it was new. */
    boolean add(int number, byte[] page) throws InvalidInputException {
        if (number < 0 || number >= pages.length) {
            throw unexpectedPage();
        }
        if (pages[number] != null) {
            return false;
        }
        pages[number] = checkedPage(page);
        missing--;
        return true;
    }

    /** All pages in one array. */
    byte[] join() throws InvalidInputException {
        int length = 0;
        for (byte[] page : pages) {
            length += page.length;
        }
        if (length > MAX_RESULT_BYTES) {
            throw new InvalidInputException("a result is too long");
        }
        byte[] joined = new byte[length];
        int position = 0;
        for (byte[] page : pages) {
            System.arraycopy(page, 0, joined, position, page.length);
            position += page.length;
        }
        return joined;
    }

    /** A page of complete rows; a truncated one would look complete to the client. */
    static byte[] checkedPage(byte[] page) throws InvalidInputException {
        boolean endsInRow = page.length == 0 || page[page.length - 1] == '\n';
        if (page.length > MAX_PAGE_BYTES || !endsInRow) {
            throw new InvalidInputException("a page that does not hold whole rows");
        }
        return page;
    }

    static InvalidInputException unexpectedPage() {
        return new InvalidInputException("a page that was not asked for");
    }
}

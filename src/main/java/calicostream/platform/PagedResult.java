// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.net.InvalidInputException;

/** A result that is fetched from an engine in numbered pages. */
final class PagedResult {
    /** The most pages that a result may have. */
    static final int MAX_PAGES = 64;

    private static final int MAX_RESULT_BYTES = 48_000;
    private static final int MAX_PAGE_BYTES = 6_000;

    private final byte[][] pages;
    private int missing;

    /** Creates a result of {@code count} pages from its first page. */
    PagedResult(int count, byte[] first) throws InvalidInputException {
        pages = new byte[count][];
        pages[0] = checkedPage(first);
        missing = count - 1;
    }

    /** The number of pages that were not received yet. */
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

    /**
     * Returns the page if it is valid. A page must end with a complete row, since the client could
     * not detect a truncated one.
     */
    static byte[] checkedPage(byte[] page) throws InvalidInputException {
        boolean endsInRow = page.length == 0 || page[page.length - 1] == '\n';
        if (page.length > MAX_PAGE_BYTES || !endsInRow) {
            throw new InvalidInputException("a page is too long or ends within a row");
        }
        return page;
    }

    static InvalidInputException unexpectedPage() {
        return new InvalidInputException("a page that was not requested");
    }
}

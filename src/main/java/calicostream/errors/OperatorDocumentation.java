// SPDX-License-Identifier: Apache-2.0
package calicostream.errors;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Names the page that documents each code of a sealed root of {@link OperationalError}s. The page
 * has a table row for each code.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface OperatorDocumentation {
    /** File name of the page within {@code docs/operate}. */
    String value();

    /** Each code of the root begins with one of these prefixes. */
    String[] prefixes();
}

// SPDX-License-Identifier: Apache-2.0
package calicostream.errors;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Of a root of {@link OperationalError}s: the operators' page that has a row for each of its codes,
 * within {@code docs/operate}.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface OperatorDocumentation {
    String value();

    /** Its codes begin with one of these. */
    String[] prefixes();
}

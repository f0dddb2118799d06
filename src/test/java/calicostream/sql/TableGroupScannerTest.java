// SPDX-License-Identifier: Apache-2.0
package calicostream.sql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeout;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Table groups of statements in several dialects, and the cost of odd ones. */
class TableGroupScannerTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "17 | select * from sales_17.orders",
                "17 | SELECT o_1.a, 'x_2.y' FROM sales_17.orders o_1 WHERE o_1.b = 3",
                "17 | select a -- from x_1.t\nfrom sales_17.t",
                "17 | /* from x_1.t /* nested */ from x_2.t */ insert into sales_17.t select * from"
                        + " staging.t_9",
                "17 | insert into staging.t select * from \"sales_17\".\"or\"\"ders\"",
                "17 | select 'it''s from x_1.t', E'\\' from x_2.t' from main.sales_17.t",
                "17 | select $q$ from x_1.t $q$ from sales_17.t",
                "17 | select extract(year from o_1.d) from sales_17.t o_1",
                "17 | select x from staging.a s, sales_17.b",
                "17 | update sales_17.t set a = (select max(b) from x_3.t)",
                "17 | copy sales_17.t from stdin",
                "17 | call sales_17.refresh()",
                "17 | merge into sales_17.t using staging.s on t.id = s.id",
                "-1 | select 1",
                "-1 | select * from staging.t_5",
                "-1 | select 'unfinished from x_1.t",
                "-1 | select * from sales_99999999999.t"
            })
    void findsTheTableGroup(String groupAndSql) {
        String[] parts = groupAndSql.split(" \\| ", 2);
        assertEquals(
                Integer.parseInt(parts[0]),
                TableGroupScanner.tableGroup(parts[1].getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void unterminatedDollarQuotesTakeBoundedTime() {
        StringBuilder sql = new StringBuilder("select ");
        for (int i = 0; i < 30_000; i++) {
            sql.append("$a").append(i).append('$');
        }
        byte[] text =
                sql.append(" from sales_17.orders").toString().getBytes(StandardCharsets.UTF_8);
        assertTimeout(Duration.ofSeconds(2), () -> TableGroupScanner.tableGroup(text));
    }
}

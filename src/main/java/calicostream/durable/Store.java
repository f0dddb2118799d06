// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

final class Store {

    private Store() {}

    static DurableLog open(Disk disk, Disk marks, Identity who, Options options) throws DurableException {
        throw new DurableException.Missing("not written yet");
    }
}

/**
 * Assembles an instance that serves clients' sessions and exchanges statements with the homes of
 * groups on other instances. Start with {@link org.chicorylane.internal.proxy.ProxyInstance}.
 */
@NullMarked
package org.chicorylane.internal.proxy;

import org.jspecify.annotations.NullMarked;

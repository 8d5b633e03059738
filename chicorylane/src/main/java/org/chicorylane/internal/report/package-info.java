/**
 * Service-level objectives: counts requests against them, computes how fast their error budgets are
 * spent (the burn rate), and renders reports and metrics. Start with {@link
 * org.chicorylane.internal.report.ServiceLevels}.
 */
@NullMarked
package org.chicorylane.internal.report;

import org.jspecify.annotations.NullMarked;

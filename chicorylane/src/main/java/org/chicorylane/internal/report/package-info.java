/** Service-level burn: counts requests against objectives, renders reports and metrics. */
@NullMarked
package org.chicorylane.internal.report;

import org.jspecify.annotations.NullMarked;

/**
 * Explicit-state search of the rule by which a home may promote a server. Start with {@link
 * org.chicorylane.internal.election.model.PromotionRuleTest}.
 */
@NullMarked
package org.chicorylane.internal.election.model;

import org.jspecify.annotations.NullMarked;

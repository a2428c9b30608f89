/** Decisions on bills: who holds a copy, what is committed when, and how committed segments are merged. */
package org.baobabcart.policy.bill;

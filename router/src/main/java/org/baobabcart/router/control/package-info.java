/** The control thread's tools: blackboard, sections, timers and controllers. */
package org.baobabcart.router.control;

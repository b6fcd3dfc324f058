import type { ClientAccount } from './client-account';
import type { Route } from './routing-configuration';

/** Number of route priorities that are told apart within one priority of accounts. */
const ROUTE_PRIORITIES = 1_000;

/**
 * Priority of a request, 0 is the most urgent: that of its account, then that of its route. Where
 * the configuration has accounts, a request without one ranks as if its account had the priority of
 * the route.
 */
export function requestPriority(
  { priority }: Pick<Route, 'priority'>,
  account: ClientAccount | undefined,
  hasAccounts: boolean,
): number {
  if (!hasAccounts) return priority;
  const accountPriority = account?.priority ?? priority;
  return accountPriority * ROUTE_PRIORITIES + Math.min(priority, ROUTE_PRIORITIES - 1);
}

import type { CallPathContext } from './call-path-context';
import type { EntryParts } from './entry-parts';
import { buildEntry } from './entry-parts';
import type { HomeParts } from './home-parts';
import { buildHome } from './home-parts';

/** Components that serve calls. */
export type CallPathParts = HomeParts & EntryParts;

/** Creates the components that serve calls. */
export function buildCallPath(context: CallPathContext): CallPathParts {
  const home = buildHome(context);
  return { ...home, ...buildEntry(context, home) };
}

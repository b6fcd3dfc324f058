import type { Deployment } from './deployment';
import { dorado } from './dorado';
import { pelletier } from './pelletier';

/** The deployments by the names that the command line takes. */
export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = { dorado, pelletier };

export const DEPLOYMENT_NAMES: readonly string[] = Object.keys(DEPLOYMENTS);

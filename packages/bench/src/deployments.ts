import type { Deployment } from './deployment';
import { dorado } from './dorado-deployment';
import { pelletier } from './pelletier-deployment';

/** The deployments by their names on the command line. */
export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = { dorado, pelletier };

export const DEPLOYMENT_NAMES: readonly string[] = Object.keys(DEPLOYMENTS);

import type { Deployment, ServicePlan } from './deployment';

/** One target instance of a deployment with its daemon. */
export interface Instance {
  /** Name of the daemon, for example `vault-quiapo-2`; also names the target. */
  readonly name: string;
  readonly service: ServicePlan;
  readonly dataCentre: string;
}

/** The instances of a service, assigned to the data centres in turn. */
export function instancesOf(deployment: Deployment, service: ServicePlan): readonly Instance[] {
  const { dataCentres } = deployment;
  return Array.from({ length: service.instances }, (_, index) => {
    const dataCentre = dataCentres[index % dataCentres.length] ?? deployment.region;
    return { name: `${service.name}-${dataCentre}-${index + 1}`, service, dataCentre };
  });
}

export function allInstances(deployment: Deployment): readonly Instance[] {
  return deployment.services.flatMap((service) => instancesOf(deployment, service));
}

import { servicePolicySchema, type ServicePolicy } from '@daisyferry/model/policy';
import { checkDocument, type Checked } from '@daisyferry/settings/check-settings';

/** Checks a whole policy document; a document with any problem is refused as a whole. */
export function validatePolicy(document: unknown): Checked<ServicePolicy> {
  return checkDocument(servicePolicySchema, document);
}

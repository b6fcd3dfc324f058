/** Header fields in order of arrival: name, value, name, value, ... Names preserve their case. */
export type HeaderFields = readonly string[];

export interface RequestHead {
  readonly method: string;
  /** Path and query as received. */
  readonly target: string;
  readonly fields: HeaderFields;
  /** Value of the Host field in lower case, without the port. */
  readonly host: string;
  readonly isPersistent: boolean;
  readonly expectsContinue: boolean;
}

export interface RequestMessage {
  readonly head: RequestHead;
  readonly body: Buffer;
}

export interface ResponseMessage {
  readonly status: number;
  /** Reason phrase of the status line. */
  readonly reason: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** False when the server closes the connection after this response. */
  readonly isPersistent: boolean;
  /** True if the body was delimited by the orderly end of the connection. */
  readonly endsWithConnection: boolean;
  /** Idle time after which the server closes the connection, if it announces one. */
  readonly keepAliveMs: number | undefined;
}

/** How the length of a body is determined. */
export type BodyFraming =
  | { readonly kind: 'length'; readonly bytes: number }
  | { readonly kind: 'chunked' }
  | { readonly kind: 'untilClose' };

/** Returns the values of all fields of that name in order; `lowerName` is in lower case. */
export function fieldValues(fields: HeaderFields, lowerName: string): string[] {
  const values: string[] = [];
  for (let index = 0; index < fields.length; index += 2) {
    const name = fields[index] ?? '';
    if (name.length === lowerName.length && name.toLowerCase() === lowerName) {
      values.push(fields[index + 1] ?? '');
    }
  }
  return values;
}

/** Returns the value of the first field of that name; `lowerName` is in lower case. */
export function fieldValue(fields: HeaderFields, lowerName: string): string | undefined {
  for (let index = 0; index < fields.length; index += 2) {
    const name = fields[index] ?? '';
    if (name.length === lowerName.length && name.toLowerCase() === lowerName) {
      return fields[index + 1];
    }
  }
  return undefined;
}

/** A text that stays within its line of a message; characters beyond are sent as others. */
const LINE_TEXT = /^[^\r\n\0\u0100-\uffff]*$/;
/** JSON without escapes, all of whose texts are such texts. */
const PLAIN_JSON = /^[\x20-\x5b\x5d-\xff]*$/;
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const REQUEST_TARGET = /^\/[^\s\u0100-\uffff]*$/;
/** Fields that are set when a message is written. */
const FRAMING_FIELDS = new Set(['content-length', 'transfer-encoding']);
const MAX_KNOWN_NAMES = 1_000;

/** Names of fields that were found to be valid; few are in use. */
const knownNames = new Set<string>();

function isFieldName(name: string): boolean {
  if (knownNames.has(name)) return true;
  if (!TOKEN.test(name) || FRAMING_FIELDS.has(name.toLowerCase())) return false;
  if (knownNames.size < MAX_KNOWN_NAMES) knownNames.add(name);
  return true;
}

/** Checks the texts of one encoded message that go into the head of an HTTP message. */
export class HeaderTexts {
  /** True if no text needs to be checked for characters on its own. */
  private readonly isPlain: boolean;

  constructor(json: string) {
    this.isPlain = PLAIN_JSON.test(json);
  }

  areLineTexts(texts: readonly (string | undefined)[]): boolean {
    return this.isPlain || texts.every((text) => text === undefined || LINE_TEXT.test(text));
  }

  /** True if a message with these fields has the fields that a receiver reads, and no others. */
  areFields(fields: readonly string[]): boolean {
    if (fields.length % 2 !== 0 || !this.areLineTexts(fields)) return false;
    for (let index = 0; index < fields.length; index += 2) {
      if (!isFieldName(fields[index] ?? '')) return false;
    }
    return true;
  }

  /** True for a method and a target with which a request line can be written. */
  isRequestLine(method: string, target: string): boolean {
    return TOKEN.test(method) && REQUEST_TARGET.test(target);
  }
}

/** A `b64token` (RFC 6750) of bounded length, in any case; not anchored, to be part of other expressions. */
export const BEARER_TOKEN = '[A-Za-z0-9._~+/-]{1,512}=*'

const WHOLE_TOKEN = new RegExp(`^${BEARER_TOKEN}$`)

/** Whether a text can be sent as the key of a client account. */
export const isBearerToken = (text: string): boolean => WHOLE_TOKEN.test(text)

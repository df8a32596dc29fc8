//! Reads single fields of flat JSON objects, which is all that the stand-ins need.

/// Returns the text or number of a field.
pub fn field(text: &str, name: &str) -> Option<String> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = text[start..].trim_start();
    if let Some(rest) = rest.strip_prefix('"') {
        return rest.split('"').next().map(str::to_owned);
    }
    Some(rest.split([',', '}', ']']).next()?.trim().to_owned())
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            let used = place <= group.len();
            let index = (bits >> (18 - 6 * place)) as usize & 63;
            text.push(if used { char::from(ALPHABET[index]) } else { '=' });
        }
    }
    text
}

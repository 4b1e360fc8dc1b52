package loadbalancer.scale.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.File;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

class ChangeSettingsTest {

  @Test
  void readsTheFileOfTheRepository() throws IOException {
    TomlMapper mapper =
        TomlMapper.builder()
            .addModule(new Jdk8Module())
            .propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();
    ScaleConfiguration configuration =
        mapper.readValue(new File("scale/change.toml"), ScaleConfiguration.class);
    ChangeSettings settings = configuration.change().orElseThrow();
    assertEquals(5_100, settings.balancers());
    assertEquals(EventKind.BURST, settings.events().get(0).kind());
  }

  @Test
  void namesFieldAllowedAndActualValue() {
    ScheduledEvent beyondRegions = TinyChangeSettings.event(EventKind.REGION_CUT, 1, 7);
    IllegalArgumentException error =
        assertThrows(
            IllegalArgumentException.class,
            () -> TinyChangeSettings.of(Replication.DIRECT, 10, List.of(beyondRegions)));
    assertEquals("events.target: expected 0 to 6, got 7", error.getMessage());
  }
}
